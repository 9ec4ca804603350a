import type { Result } from '@hickorybridge/types';

/** An object in a store with conditional writes. */
export interface VersionedObject {
  readonly key: string;
  readonly value: string;
  /** Increases by one with each write to this key, starting at 1. */
  readonly version: number;
}

/** The store was unreachable or did not answer in time. */
export interface StoreFailure {
  readonly type: 'store-unavailable';
  readonly detail: string;
}

/**
 * Outcome of a conditional write. After `unknown` the write may have taken effect or may still do
 * so.
 */
export type ConditionalWriteOutcome =
  | { readonly type: 'done'; readonly version: number }
  | { readonly type: 'refused'; readonly current: VersionedObject | undefined }
  | { readonly type: 'unknown'; readonly detail: string };

/** Store operations that this package requires. */
export interface ConditionalStore {
  /** Reads an object; `undefined` if it does not exist. */
  read(key: string): Promise<Result<VersionedObject | undefined, StoreFailure>>;
  /** Writes only if the object's version is `expectedVersion`; 0 means that it must not exist. */
  writeConditional(
    key: string,
    value: string,
    expectedVersion: number,
  ): Promise<ConditionalWriteOutcome>;
}
