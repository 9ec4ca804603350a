import type { CancellableTry, ExecutionOutcome } from '@hickorybridge/peer-protocol';
import type { HostCandidate } from '@hickorybridge/routing';

/** One attempt to run a request on one host. */
export class HostAttempt implements CancellableTry {
  readonly attempts = 1;

  readonly candidate: HostCandidate;

  readonly outcome: Promise<ExecutionOutcome>;

  readonly #cancellation = new AbortController();

  constructor(candidate: HostCandidate, send: (signal: AbortSignal) => Promise<ExecutionOutcome>) {
    this.candidate = candidate;
    this.outcome = send(this.#cancellation.signal);
  }

  /** Cancels the attempt; its outcome still tells whether the request may have run. */
  cancel(): void {
    this.#cancellation.abort();
  }
}
