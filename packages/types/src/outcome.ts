/** Outcome of a request, as reported to its caller. */
export const Outcome = {
  /** The backend server's complete answer. */
  answered: 'answered',
  /** The request is known not to have run. */
  notRun: 'not-run',
  /** The request may have run. */
  unknown: 'unknown',
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];
