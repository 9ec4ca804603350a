import type { CancellableTry, ExecutionOutcome } from '@hickorybridge/peer-protocol';
import type { HostCandidate } from '@hickorybridge/routing';

/** One sending of a request to one host. */
export class HostAttempt implements CancellableTry {
  readonly attempts = 1;

  readonly candidate: HostCandidate;

  readonly outcome: Promise<ExecutionOutcome>;

  readonly #cancellation = new AbortController();

  constructor(candidate: HostCandidate, send: (signal: AbortSignal) => Promise<ExecutionOutcome>) {
    this.candidate = candidate;
    this.outcome = send(this.#cancellation.signal);
  }

  /** Cancels the try; its outcome still says whether it may have run. */
  cancel(): void {
    this.#cancellation.abort();
  }
}
