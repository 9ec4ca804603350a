import type { MeasuringBudget as BudgetSettings } from '@hickorybridge/configuration';
import type { ControlBudget } from '@hickorybridge/peer-protocol';
import { Distance } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

const millisecondsPerSecond = 1000;

// Control traffic comes in bursts, as after a restart; the budget holds over this time.
const burstSeconds = 20;

/**
 * Calls that go on when the budget is used up. Without heartbeats, live nodes would be removed;
 * they are counted, so that everything else makes room for them.
 */
const essentialCalls: ReadonlySet<string> = new Set(['beat']);

/** What the budget of a node is computed from. */
export interface MeasuringBudgetOptions {
  /** The budget in effect; `undefined` until a deployment is known, which means no limit. */
  readonly settings: () => BudgetSettings | undefined;
  /** Live nodes of the own region, which share the budget equally. */
  readonly nodesInRegion: () => number;
  readonly clock: Clock;
}

/** Bytes that may be sent; negative after a message that was larger than what was left. */
interface Allowance {
  bytes: number;
  filledAt: number;
}

/** This node's share of the operators' budget for measuring, as a hard limit. */
export class MeasuringBudget implements ControlBudget {
  /** Calls that were not sent because the budget was used up. */
  rejectedCalls = 0;

  readonly #options: MeasuringBudgetOptions;

  readonly #region: Allowance;

  readonly #link: Allowance;

  constructor(options: MeasuringBudgetOptions) {
    this.#options = options;
    const filledAt = options.clock.now();
    this.#region = { bytes: Number.POSITIVE_INFINITY, filledAt };
    this.#link = { bytes: Number.POSITIVE_INFINITY, filledAt };
  }

  permits(name: string, distance: Distance): boolean {
    if (essentialCalls.has(name)) return true;
    const permitted = this.#filled(distance).bytes > 0;
    if (!permitted) this.rejectedCalls += 1;
    return permitted;
  }

  spend(distance: Distance, bytes: number): void {
    this.#filled(distance).bytes -= bytes;
  }

  /** Share of this node, in bytes a second. */
  rate(distance: Distance): number {
    const settings = this.#options.settings();
    if (settings === undefined) return Number.POSITIVE_INFINITY;
    const { linkBytesPerSecond, regionBytesPerSecond } = settings;
    const total = distance === Distance.otherRegion ? linkBytesPerSecond : regionBytesPerSecond;
    return total / Math.max(1, this.#options.nodesInRegion());
  }

  #filled(distance: Distance): Allowance {
    const allowance = distance === Distance.otherRegion ? this.#link : this.#region;
    const now = this.#options.clock.now();
    const rate = this.rate(distance);
    const earned = ((now - allowance.filledAt) / millisecondsPerSecond) * rate;
    allowance.filledAt = now;
    allowance.bytes = Number.isFinite(rate)
      ? Math.min(rate * burstSeconds, allowance.bytes + earned)
      : Number.POSITIVE_INFINITY;
    return allowance;
  }
}
