import type { Clock } from '@hickorybridge/utils';

import type { RetryAllowance } from './RetryAllowance.js';

/** Options of {@link SharedRetryBudget}. */
export interface SharedRetryBudgetOptions {
  /** Retries permitted as a share of first attempts, from 0 to 1. */
  readonly share: number;
  /** Retries that all members together may make in each window beyond that share. */
  readonly slack: number;
  readonly windowMilliseconds: number;
  /** Members that this one knows, itself included; 0 before it knows any. */
  readonly memberCount: () => number;
  /** Whether this member has joined in this life, so that no earlier life has used its part. */
  readonly isNewMember: () => boolean;
  readonly clock: Pick<Clock, 'now'>;
}

/** Retries that were earned or made within one step of time. */
interface RetryCount {
  readonly startedAt: number;
  amount: number;
}

const stepsPerWindow = 20;
/** A member that has just started knows only the members that registered before it. */
const minimumMembersAtStart = 16;
/** Parts of the slack of a member: what it may save up, and what it earns in each window. */
const savedSlackShare = 0.5;
const earnedSlackShare = 0.5;
/** Ten times a tenth must make a whole token. */
const roundingTolerance = 1e-9;

/**
 * One member's part of the retries that all members may make together. Let `share` be s, the slack
 * S, the window W, and let the members know each other. Then, in any span of length W, all members
 * together make at most S retries and s for each first attempt in that span and in the one before.
 *
 * - Retries earned by first attempts expire after W.
 * - A member earns its part of the slack over time. Only a new member starts with some of it, so
 *   that members which restart often have no more than others.
 */
export class SharedRetryBudget implements RetryAllowance {
  readonly #options: SharedRetryBudgetOptions;

  readonly #startedAt: number;

  /** Oldest first. */
  readonly #earned: RetryCount[] = [];

  /** Retries that were made without a permission, oldest first. */
  readonly #unpermitted: RetryCount[] = [];

  #slack = 0;

  #refilledAt: number;

  #hasInitialSlack = false;

  constructor(options: SharedRetryBudgetOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#refilledAt = this.#startedAt;
  }

  /** Number of retries permitted now. */
  get available(): number {
    this.#refill();
    return Math.max(0, Math.floor(this.#total() + roundingTolerance));
  }

  recordFirstAttempt(): void {
    this.#refill();
    this.#count(this.#earned, this.#options.share);
    this.#trim();
  }

  tryAcquireRetry(): boolean {
    if (this.available < 1) return false;
    this.#take(1);
    return true;
  }

  recordRetry(): void {
    this.#refill();
    this.#count(this.#unpermitted, 1);
  }

  /** Adds to the newest step of a list. */
  #count(steps: RetryCount[], amount: number): void {
    const { clock, windowMilliseconds } = this.#options;
    const now = clock.now();
    const last = steps.at(-1);
    if (last !== undefined && now - last.startedAt < windowMilliseconds / stepsPerWindow) {
      last.amount += amount;
    } else {
      steps.push({ startedAt: now, amount });
    }
  }

  #take(count: number): void {
    let missing = count;
    for (const step of this.#earned) {
      const taken = Math.min(step.amount, missing);
      step.amount -= taken;
      missing -= taken;
    }
    this.#slack -= missing;
  }

  #total(): number {
    return this.#slack + sumOf(this.#earned) - sumOf(this.#unpermitted);
  }

  /** This member's part of the slack. */
  #ownSlack(): number {
    const { clock, memberCount, slack, windowMilliseconds } = this.#options;
    const known = memberCount();
    const isStarting = clock.now() - this.#startedAt < windowMilliseconds;
    return slack / Math.max(1, known, isStarting ? minimumMembersAtStart : 0);
  }

  /** Bounds the burst of retries. A retry needs a whole token, also in a large fleet. */
  #maxTotal(): number {
    return Math.max(1, this.#ownSlack() * savedSlackShare);
  }

  #refill(): void {
    const { clock, isNewMember, memberCount, windowMilliseconds } = this.#options;
    const now = clock.now();
    const elapsed = Math.max(0, now - this.#refilledAt);
    this.#refilledAt = now;
    const ownSlack = this.#ownSlack();
    let earned = memberCount() > 0 ? (elapsed / windowMilliseconds) * earnedSlackShare : 0;
    if (!this.#hasInitialSlack && isNewMember()) {
      this.#hasInitialSlack = true;
      earned += savedSlackShare;
    }
    this.#slack = Math.min(this.#slack + earned * ownSlack, ownSlack * savedSlackShare);
    // The step may hold first attempts up to its end, but all of them expire with its start.
    while (now - (this.#earned[0]?.startedAt ?? now) >= windowMilliseconds) this.#earned.shift();
    // One step longer, so that none expires early.
    const unpermittedMilliseconds = windowMilliseconds * (1 + 1 / stepsPerWindow);
    while (now - (this.#unpermitted[0]?.startedAt ?? now) >= unpermittedMilliseconds) {
      this.#unpermitted.shift();
    }
    this.#trim();
  }

  /** Drops what exceeds the burst, from the retries that expire first. */
  #trim(): void {
    let excess = this.#total() - this.#maxTotal();
    for (const step of this.#earned) {
      if (excess <= 0) return;
      const dropped = Math.min(step.amount, excess);
      step.amount -= dropped;
      excess -= dropped;
    }
  }
}

function sumOf(steps: readonly RetryCount[]): number {
  return steps.reduce((sum, { amount }) => sum + amount, 0);
}
