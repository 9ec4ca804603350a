import type { LoadReport, RefusalReason } from '@hickorybridge/types';

/** What admission has to know of a request. */
export interface AdmissionRequest {
  readonly kind: string;
  readonly weight: number;
  readonly depth: number;
  /** Monotonic milliseconds of this process. */
  readonly deadline: number;
  /** Until when an answer is fully useful, on the same clock; the deadline by default. */
  readonly usefulUntil?: number | undefined;
  /** Work that the sender expects, in milliseconds at the usual speed of hosts. */
  readonly expectedWorkMilliseconds?: number | undefined;
  /** Removes the request from the queue when it aborts. */
  readonly signal: AbortSignal;
}

/** The right to send one request to the backend server. */
export interface Permit {
  /** Gives the place back. `serviceMilliseconds` is absent when no complete answer came. */
  release(serviceMilliseconds?: number): void;
}

export type AdmissionOutcome =
  | { readonly type: 'admitted'; readonly permit: Permit }
  | { readonly type: 'refused'; readonly reason: RefusalReason };

/** Decides when a request may go to one backend server. */
export interface AdmissionController {
  /** Waits in the queue when no place is free. A refusal means that the request did not run. */
  admit(request: AdmissionRequest): Promise<AdmissionOutcome>;
  /** The load at this moment. */
  report(): LoadReport;
  /** Refuses all new requests from now on; those queued or in flight go on. */
  stopAdmitting(): void;
  /** Resolves when nothing is queued or in flight. */
  waitUntilIdle(): Promise<void>;
}
