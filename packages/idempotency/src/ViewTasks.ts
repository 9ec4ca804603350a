import type { PlatformStore, StoreUnavailable } from '@hickorybridge/store';
import { succeed } from '@hickorybridge/types';
import type { Result } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { ClaimHolder } from './ClaimHolder.js';
import { defaultConfirmationLimitMilliseconds } from './ClaimHolder.js';
import type { ViewRegister } from './ViewRegister.js';
import { parseView, viewStoreKey } from './claimView.js';
import type { ClaimView } from './claimView.js';

/** What the tasks of a node work with. */
export interface ViewTasksOptions {
  readonly store: PlatformStore;
  readonly views: ViewRegister;
  readonly holder: ClaimHolder;
  readonly clock: Clock;
  readonly confirmationLimitMilliseconds?: number;
}

/** Time between two rounds of expiry, in milliseconds. */
const expiryIntervalMilliseconds = 10_000;

/** Confirmations that fit into the limit, so that single failures of the store do no harm. */
const confirmationsPerLimit = 24;

/** Keeps a node's holder in order: drops expired records and confirms its views at the store. */
export class ViewTasks {
  readonly #options: ViewTasksOptions;

  constructor(options: ViewTasksOptions) {
    this.#options = options;
  }

  /** Reads the view from the store, spreads it on this node and confirms the holder's views. */
  async refresh(): Promise<Result<ClaimView | undefined, StoreUnavailable>> {
    const { store, views, holder, clock } = this.#options;
    const readStartedAt = clock.now();
    const read = await store.read(viewStoreKey);
    if (!read.ok) return read;
    if (read.value === undefined) return succeed(undefined);
    const view = parseView(read.value.value, read.value.version);
    if (view === undefined) return succeed(undefined);
    views.apply(view);
    holder.confirm(view, readStartedAt);
    return succeed(view);
  }

  /** Runs until the signal aborts. A node without shards makes no calls to the store. */
  async run(signal: AbortSignal): Promise<void> {
    const { holder, clock, views } = this.#options;
    const unsubscribe = views.onChange((view) => holder.apply(view));
    let confirmedAt = clock.now();
    while (!signal.aborted) {
      await clock.sleep(expiryIntervalMilliseconds, signal);
      holder.expire();
      if (clock.now() - confirmedAt < this.#confirmationInterval) continue;
      if (holder.heldShards.length === 0) continue;
      if ((await this.refresh()).ok) confirmedAt = clock.now();
    }
    unsubscribe();
  }

  get #confirmationInterval(): number {
    const limit =
      this.#options.confirmationLimitMilliseconds ?? defaultConfirmationLimitMilliseconds;
    return limit / confirmationsPerLimit;
  }
}
