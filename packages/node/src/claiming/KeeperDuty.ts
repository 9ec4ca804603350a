import { FencedLease } from '@hickorybridge/coordination';
import { ViewKeeper, ViewTasks, viewStoreKey, parseView } from '@hickorybridge/idempotency';
import type { ClaimHolder, HolderCandidate, ViewRegister } from '@hickorybridge/idempotency';
import type { Logger } from '@hickorybridge/logger';
import { RoleName, type Membership } from '@hickorybridge/membership';
import type { PlatformStore } from '@hickorybridge/store';
import type { ControlChannel, NodeIdentity } from '@hickorybridge/types';
import type { Clock, Supervisor } from '@hickorybridge/utils';

const leaseKey = 'leases/claim-view-keeper';
const leaseMilliseconds = 6000;
const renewalMilliseconds = 2000;
// The first view is needed before the first keyed request.
const startupMilliseconds = 100;

/** What the duties around claim views are made of. */
export interface KeeperDutyOptions {
  readonly identity: NodeIdentity;
  readonly membership: Membership;
  readonly store: PlatformStore;
  readonly channel: ControlChannel;
  readonly views: ViewRegister;
  readonly holder: ClaimHolder;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Keeps the view of claim holders up to date: every node follows the view, and one of the store
 * watchers of all failure domains changes it, under a fenced lease.
 */
export class KeeperDuty {
  readonly #options: KeeperDutyOptions;

  readonly #lease: FencedLease;

  #writes = 0;

  constructor(options: KeeperDutyOptions) {
    this.#options = options;
    const { clock, identity, store } = options;
    this.#lease = new FencedLease({
      store,
      key: leaseKey,
      holder: `${identity.nodeId}/${identity.incarnation}`,
      durationMilliseconds: leaseMilliseconds,
      clock,
      createWriteId: () => this.#createWriteId(),
    });
  }

  /** Whether this node is the keeper at the moment, by its own clock. */
  get holdsLease(): boolean {
    return this.#lease.token !== undefined;
  }

  start(supervisor: Supervisor): void {
    const { channel, clock, holder, logger, membership, store, views } = this.#options;
    membership.onSharedObject((object) => {
      if (object.key !== viewStoreKey) return;
      const view = parseView(object.value, object.version);
      if (view !== undefined) views.apply(view);
    });
    const tasks = new ViewTasks({ store, views, holder, clock });
    const keeper = new ViewKeeper({
      store,
      channel,
      clock,
      views,
      logger,
      lease: { held: () => this.#held() },
      liveNodes: () => this.#candidates(),
    });
    supervisor.start('claim view', (signal) => tasks.run(signal));
    supervisor.start('claim view keeper', (signal) => this.#keep(keeper, signal));
  }

  /** Takes or renews the lease in each round, and repairs the view while it is held. */
  async #keep(keeper: ViewKeeper, signal: AbortSignal): Promise<void> {
    const { clock, membership } = this.#options;
    while (!signal.aborted) {
      const ready = membership.ready();
      const candidate = ready && membership.holdsRole(RoleName.storeWatcher);
      if (candidate || this.holdsLease) await this.#runRound(keeper);
      await clock.sleep(ready ? renewalMilliseconds : startupMilliseconds, signal);
    }
    await this.#lease.release();
  }

  async #runRound(keeper: ViewKeeper): Promise<void> {
    const { clock } = this.#options;
    await this.#lease.acquireOrRenew();
    const renewBy = clock.now() + renewalMilliseconds;
    while (this.holdsLease && clock.now() < renewBy) {
      const round = await keeper.runOnce();
      if (round.type !== 'written') return;
    }
  }

  #held(): { readonly fencingToken: number } | undefined {
    const { token } = this.#lease;
    return token === undefined ? undefined : { fencingToken: token };
  }

  #candidates(): readonly HolderCandidate[] {
    return this.#options.membership
      .nodes()
      .filter((record) => !record.leaving)
      .map(({ nodeId, incarnation, region, failureDomain }) => ({
        nodeId,
        incarnation,
        region,
        failureDomain,
      }));
  }

  #createWriteId(): string {
    const { incarnation, nodeId } = this.#options.identity;
    this.#writes += 1;
    return `${nodeId}/${incarnation}/claim-view-keeper/${this.#writes}`;
  }
}
