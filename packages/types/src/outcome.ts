/** What a caller is told about its request. */
export const Outcome = {
  /** The backend server's complete answer. */
  answered: 'answered',
  /** The request surely did not run. */
  notRun: 'not-run',
  /** The request may have run. */
  unknown: 'unknown',
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];
