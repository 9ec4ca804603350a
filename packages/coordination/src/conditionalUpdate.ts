import type { Clock } from '@hickorybridge/utils';
import type { ConditionalStore, VersionedObject } from './conditionalStore.js';

/**
 * Options of {@link conditionalUpdate}. The value must contain an identifier unique to this write.
 */
export interface ConditionalUpdateOptions {
  readonly store: ConditionalStore;
  readonly key: string;
  readonly value: string;
  readonly expectedVersion: number;
  /** Whether a value was written by this update, judged by its unique identifier. */
  readonly isOwn: (value: string) => boolean;
  readonly clock: Pick<Clock, 'sleep'>;
  /** Maximum number of reads to resolve an unknown outcome; default 3. */
  readonly resolutionReads?: number;
  /**
   * Delay before the first of these reads, in milliseconds; doubles for each further read; default
   * 100.
   */
  readonly resolutionDelayMilliseconds?: number;
}

/**
 * Outcome of a conditional update. `unknown` means that the write may have taken effect or may
 * still do so. `superseded` means that another write is current and that it is undecidable whether
 * this write took effect before it.
 */
export type ConditionalUpdateOutcome =
  | { readonly type: 'done'; readonly version: number }
  | { readonly type: 'refused'; readonly current: VersionedObject | undefined }
  | { readonly type: 'superseded'; readonly current: VersionedObject }
  | { readonly type: 'unknown'; readonly detail: string };

const defaultResolutionReads = 3;
const defaultResolutionDelayMilliseconds = 100;

/** Writes once and, if the answer is lost, resolves the outcome by reading the identifier back. */
export async function conditionalUpdate(
  options: ConditionalUpdateOptions,
): Promise<ConditionalUpdateOutcome> {
  const { store, key, value, expectedVersion, isOwn } = options;
  const outcome = await store.writeConditional(key, value, expectedVersion);
  if (outcome.type === 'unknown') return resolveUnknown(options, outcome.detail);
  if (outcome.type !== 'refused') return outcome;
  const { current } = outcome;
  // A store client that retries a lost write is refused if its first attempt took effect.
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
  for (let attempt = 0; attempt < reads; attempt += 1) {
    await options.clock.sleep(delay);
    delay *= 2;
    const read = await options.store.read(options.key);
    if (!read.ok) continue;
    const current = read.value;
    if (current !== undefined && options.isOwn(current.value)) {
      return { type: 'done', version: current.version };
    }
    if (current === undefined || current.version <= options.expectedVersion) continue;
    // Another write has version expectedVersion + 1, so the condition of this write can no longer
    // hold.
    if (current.version === options.expectedVersion + 1) return { type: 'refused', current };
    return { type: 'superseded', current };
  }
  return {
    type: 'unknown',
    detail: `the write of ${options.key} was not confirmed by ${reads} reads: ${detail}`,
  };
}
