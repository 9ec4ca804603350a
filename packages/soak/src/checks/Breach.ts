/** A rule of the platform. */
export const Rule = {
  fault: 'FAULT',
  lost: 'LOST',
  budget: 'BUDGET',
  quota: 'QUOTA',
  key: 'KEY',
  fairness: 'FAIRNESS',
} as const;

export type Rule = (typeof Rule)[keyof typeof Rule];

/** One breach of a rule. */
export interface Breach {
  readonly rule: Rule;
  readonly at: number;
  readonly cause: string;
  readonly node?: string;
  readonly requestId?: string;
}

/** What a check has found: breaches, and counts of what it looked at. */
export interface CheckResult {
  readonly breaches: readonly Breach[];
  readonly counts: Readonly<Record<string, number>>;
}

/** Writes a breach as one line. */
export function formatBreach({ at, cause, node, requestId, rule }: Breach): string {
  const seconds = (at / 1000).toFixed(3);
  return `${rule} at ${seconds} s, node ${node ?? '-'}, request ${requestId ?? '-'}: ${cause}`;
}
