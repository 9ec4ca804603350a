import type { LoadReport, RefusalReason } from '@hickorybridge/types';

/** The properties of a request that admission decides on. */
export interface AdmissionRequest {
  readonly kind: string;
  readonly weight: number;
  readonly depth: number;
  /** Monotonic milliseconds of this process. */
  readonly deadline: number;
  /** Time until which an answer has its full value, on the same clock; defaults to the deadline. */
  readonly usefulUntil?: number | undefined;
  /** Work that the sender expects, in milliseconds at the normal speed of a host. */
  readonly expectedWorkMilliseconds?: number | undefined;
  /** Name of the caller's tenant; absent if callers need no key. */
  readonly tenant?: string | undefined;
  /** Priority of the tenant, 0 being the most urgent; absent if it has none. */
  readonly tenantPriority?: number | undefined;
  /** Removes the request from the queue when it aborts. */
  readonly signal: AbortSignal;
}

/** Permission to send one request to the backend server. */
export interface Permit {
  /** Frees the slot. `serviceMilliseconds` is omitted when no complete answer was received. */
  release(serviceMilliseconds?: number): void;
}

export type AdmissionOutcome =
  | { readonly type: 'admitted'; readonly permit: Permit }
  | { readonly type: 'refused'; readonly reason: RefusalReason };

/** Decides when a request may go to one backend server. */
export interface AdmissionController {
  /** Queues the request while no slot is free. A refused request has not run. */
  admit(request: AdmissionRequest): Promise<AdmissionOutcome>;
  /** Returns the current load. */
  report(): LoadReport;
  /** Refuses all new requests; queued requests and those in flight continue. */
  stopAdmitting(): void;
  /** Resolves when no request is queued or in flight. */
  waitUntilIdle(): Promise<void>;
}
