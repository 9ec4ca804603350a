import type { Result } from '@hickorybridge/types';

/** One object of a store with conditional writes. */
export interface VersionedObject {
  readonly key: string;
  readonly value: string;
  /** Rises with each write to this key; the first write gives 1. */
  readonly version: number;
}

/** The store could not be asked, or did not answer in time. */
export interface StoreFailure {
  readonly type: 'store-unavailable';
  readonly detail: string;
}

/** How a conditional write ended. After `unknown` the write may take effect, now or later. */
export type ConditionalWriteOutcome =
  | { readonly type: 'done'; readonly version: number }
  | { readonly type: 'refused'; readonly current: VersionedObject | undefined }
  | { readonly type: 'unknown'; readonly detail: string };

/** What the parts of this package need of a store. */
export interface ConditionalStore {
  /** Reads one object; `undefined` when there is none. */
  read(key: string): Promise<Result<VersionedObject | undefined, StoreFailure>>;
  /** Writes when the object's version is `expectedVersion`; 0 means that it must not exist. */
  writeConditional(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<ConditionalWriteOutcome>;
}
