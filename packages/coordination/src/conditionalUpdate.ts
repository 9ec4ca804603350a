import type { Clock } from '@hickorybridge/utils';
import type { ConditionalStore, VersionedObject } from './conditionalStore.js';

/** One conditional update. The value carries a unique identity of the write. */
export interface ConditionalUpdateOptions {
  readonly store: ConditionalStore;
  readonly key: string;
  readonly value: string;
  readonly expectedVersion: number;
  /** Tells whether a value was written by this very update, by the identity that it carries. */
  readonly isOwn: (value: string) => boolean;
  readonly clock: Pick<Clock, 'sleep'>;
  /** Reads that may be made to resolve an unknown write; default 3. */
  readonly resolutionReads?: number;
  /** Time before the first such read, in milliseconds; doubles each time; default 100. */
  readonly resolutionDelayMilliseconds?: number;
}

/**
 * How a conditional update ended. `unknown` means that the write may still take effect.
 * `superseded` means that another write stands and it cannot be told whether ours came before it.
 */
export type ConditionalUpdateOutcome =
  | { readonly type: 'done'; readonly version: number }
  | { readonly type: 'refused'; readonly current: VersionedObject | undefined }
  | { readonly type: 'superseded'; readonly current: VersionedObject }
  | { readonly type: 'unknown'; readonly detail: string };

const defaultResolutionReads = 3;
const defaultResolutionDelayMilliseconds = 100;

/** Writes once and, when the answer is lost, finds out by reading the identity back. */
export async function conditionalUpdate(
  options: ConditionalUpdateOptions,
): Promise<ConditionalUpdateOutcome> {
  const { store, key, value, expectedVersion, isOwn } = options;
  const outcome = await store.writeConditional(key, value, expectedVersion);
  if (outcome.type === 'unknown') return resolveUnknown(options, outcome.detail);
  if (outcome.type !== 'refused') return outcome;
  const { current } = outcome;
  // A client that repeats a lost write is refused by the effect of its own first try.
  if (current !== undefined && isOwn(current.value)) {
    return { type: 'done', version: current.version };
  }
  return outcome;
}

async function resolveUnknown(
  options: ConditionalUpdateOptions,
  detail: string,
): Promise<ConditionalUpdateOutcome> {
  const reads = options.resolutionReads ?? defaultResolutionReads;
  let delay = options.resolutionDelayMilliseconds ?? defaultResolutionDelayMilliseconds;
  for (let count = 0; count < reads; count += 1) {
    await options.clock.sleep(delay);
    delay *= 2;
    const read = await options.store.read(options.key);
    if (!read.ok) continue;
    const current = read.value;
    if (current !== undefined && options.isOwn(current.value)) {
      return { type: 'done', version: current.version };
    }
    if (current === undefined || current.version <= options.expectedVersion) continue;
    // Version expected + 1 belongs to another write, so the condition of ours failed for good.
    if (current.version === options.expectedVersion + 1) return { type: 'refused', current };
    return { type: 'superseded', current };
  }
  return {
    type: 'unknown',
    detail: `the write of ${options.key} was not confirmed by ${reads} reads: ${detail}`,
  };
}
