/** Grants the retries of one service. */
export interface RetryAllowance {
  /** Counts the first attempt of a request, which earns a part of a retry. */
  recordFirstAttempt(): void;
  /** Takes one retry; returns false if there is none. */
  tryAcquireRetry(): boolean;
  /** Counts a retry that was made without a permission, at the cost of later ones. */
  recordRetry(): void;
}
