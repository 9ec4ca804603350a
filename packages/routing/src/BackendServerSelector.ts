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
}

/** How one try ended, as the router saw it. */
export type TryResult =
  | { readonly type: 'answered'; readonly report: LoadReport; readonly elapsedMilliseconds: number }
  | { readonly type: 'refused'; readonly report: LoadReport | undefined }
  | { readonly type: 'lost' }
  | { readonly type: 'cancelled' };

/** Chooses backend servers. One instance serves one router; it never waits. */
export interface BackendServerSelector {
  /** Gives the backend server for the next try, or `undefined` when none is eligible. */
  select(request: SelectionRequest): BackendServerEntry | undefined;
  /** Counts a try as outstanding. */
  sent(entry: BackendServerEntry): void;
  /** Ends an outstanding try. */
  finished(entry: BackendServerEntry, result: TryResult): void;
  /** Takes in a load report that came with an answer's head, before the answer ended. */
  observed(entry: BackendServerEntry, report: LoadReport, elapsedMilliseconds: number): void;
}

/** What every selector needs. */
export interface SelectorContext {
  readonly location: Location;
  readonly nodeId: string;
}
