import type { Result } from '@hickorybridge/types';

/** An object of the store. */
export interface StoredObject {
  readonly key: string;
  /** Text, at most 1 MB in UTF-8. */
  readonly value: string;
  /** Rises with each write to this key; the first write gives 1. */
  readonly version: number;
}

/** The store could not be asked, or did not answer in time. */
export interface StoreUnavailable {
  readonly type: 'store-unavailable';
  readonly detail: string;
}

/** How a conditional write ended. */
export type WriteOutcome =
  | { readonly type: 'done'; readonly version: number }
  /** The condition did not hold; `current` is what stands. */
  | { readonly type: 'refused'; readonly current: StoredObject | undefined }
  /** The write may have taken effect, now or later. */
  | { readonly type: 'unknown'; readonly detail: string };

/** Objects that changed since a revision of the store. */
export interface WatchResult {
  /** Revision to continue from. */
  readonly revision: number;
  readonly changed: readonly StoredObject[];
  /** Keys of objects that were removed. */
  readonly removed?: readonly string[];
  /** True when `changed` lists everything that stands, because the history was gone. */
  readonly complete?: boolean;
}

/** A store that also removes objects and can answer a watch from a copy that lags. */
export interface RemovingStore extends PlatformStore {
  /** Removes an object whose version is `expectedVersion`. */
  remove(key: string, expectedVersion: number): Promise<WriteOutcome>;
  /** Like `watch`; with `mayBeStale` the answer may be seconds old and costs less. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
    mayBeStale?: boolean,
  ): Promise<Result<WatchResult, StoreUnavailable>>;
}

/** The only way in which hickorybridge uses the platform's store. */
export interface PlatformStore extends AsyncDisposable {
  /** Reads one object; `undefined` when there is none. */
  read(key: string): Promise<Result<StoredObject | undefined, StoreUnavailable>>;
  /** Writes when the object's version is `expectedVersion`; 0 means that it must not exist. */
  writeConditional(key: string, value: string, expectedVersion: number): Promise<WriteOutcome>;
  /** Lists the objects whose keys start with `prefix`, sorted by key. */
  list(prefix: string): Promise<Result<readonly StoredObject[], StoreUnavailable>>;
  /**
   * Waits until an object under `prefix` is newer than `afterRevision`, at most
   * `waitMilliseconds`. Revision 0 gives all objects at once. A waiting watch counts as one call.
   */
  watch(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<Result<WatchResult, StoreUnavailable>>;
}
