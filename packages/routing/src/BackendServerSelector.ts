import type { BackendServerEntry, LoadReport, Location } from '@hickorybridge/types';

/** Properties of a request that a selector considers. */
export interface SelectionRequest {
  readonly service: string;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  /** Expected size of request and answer together, in bytes. */
  readonly expectedBytes: number;
  /** IDs of the backend servers that this request has already tried. */
  readonly excluded: ReadonlySet<string>;
  /** Whether this is a hedged request, which is only worth its load where a slot is free. */
  readonly hedged?: boolean;
}

/** How one try ended, as seen by the router. */
export type TryResult =
  | {
      readonly type: 'answered';
      readonly report: LoadReport;
      readonly elapsedMilliseconds: number;
      /** Whether the answer states an error of the backend server (status 500 and above). */
      readonly serverError?: boolean;
    }
  | { readonly type: 'refused'; readonly report: LoadReport | undefined }
  | { readonly type: 'lost' }
  | { readonly type: 'cancelled' };

/** Chooses backend servers for one router, synchronously. */
export interface BackendServerSelector {
  /** Returns the backend server for the next try, or `undefined` when none is eligible. */
  select(request: SelectionRequest): BackendServerEntry | undefined;
  /** Counts a try as outstanding. */
  recordSent(entry: BackendServerEntry): void;
  /** Records the result of an outstanding try, which then no longer counts as outstanding. */
  recordResult(entry: BackendServerEntry, result: TryResult): void;
  /** Records a load report received with the head of an answer, before the answer has ended. */
  recordReport(entry: BackendServerEntry, report: LoadReport, elapsedMilliseconds: number): void;
  /**
   * Estimates the network round trip to a backend server, in milliseconds; 0 when the policy keeps
   * no estimate. The deadline sent to it is earlier by the return trip, so the answer is in time.
   */
  roundTripTo(entry: BackendServerEntry): number;
}

/** Position of the router that a selector chooses for. */
export interface SelectorContext {
  readonly location: Location;
  readonly nodeId: string;
}
