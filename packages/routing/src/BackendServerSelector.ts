import type { BackendServerEntry, LoadReport, Location } from '@hickorybridge/types';

/** What a selector has to know of a request. */
export interface SelectionRequest {
  readonly service: string;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  /** Expected size of request and answer together, in bytes. */
  readonly expectedBytes: number;
  /** Backend servers that this request has tried already. */
  readonly excluded: ReadonlySet<string>;
  /** For a hedged request: only a backend server with a free place is worth its load. */
  readonly hedged?: boolean;
}

/** How one try ended, as the router saw it. */
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

/** Chooses backend servers. One instance serves one router; it never waits. */
export interface BackendServerSelector {
  /** Gives the backend server for the next try, or `undefined` when none is eligible. */
  select(request: SelectionRequest): BackendServerEntry | undefined;
  /** Counts a try as outstanding. */
  recordSent(entry: BackendServerEntry): void;
  /** Ends an outstanding try. */
  recordResult(entry: BackendServerEntry, result: TryResult): void;
  /** Takes in a load report that came with an answer's head, before the answer ended. */
  recordReport(entry: BackendServerEntry, report: LoadReport, elapsedMilliseconds: number): void;
  /**
   * Estimates the network round trip to a backend server, in milliseconds; 0 when the policy keeps
   * no estimate. A deadline sent to it is earlier by the way back, so that the answer is in time.
   */
  roundTripTo(entry: BackendServerEntry): number;
}

/** What every selector needs. */
export interface SelectorContext {
  readonly location: Location;
  readonly nodeId: string;
}
