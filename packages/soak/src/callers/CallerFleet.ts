import type { RandomSource } from '@hickorybridge/utils';
import type { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { requestsPerSecond, routes, usualHosts, type MeshRoute } from '../mesh/meshShape.js';
import { meshTenants, type KeyUse } from '../mesh/meshTenants.js';
import { RequestEnd } from '../record/SoakEvent.js';
import type { RequestSender, SendOptions, SendOutcome, SendTarget } from './RequestSender.js';
import type { RouteTimeouts } from './RouteTimeouts.js';

/** A host with callers of its own. */
export interface CallerHost extends SendTarget {
  /** Keeps the connections of this host's callers. */
  readonly agent: Agent;
}

/** Parts that callers use. */
export interface CallerFleetOptions {
  readonly hosts: readonly CallerHost[];
  readonly sender: RequestSender;
  readonly timeouts: RouteTimeouts;
  readonly random: RandomSource;
  /** Keys that callers send, where the deployment has tenants. */
  readonly keyUses?: readonly KeyUse[] | undefined;
  readonly takesRequests: (node: string) => boolean;
}

const freshShare = 0.1;
const leavingShare = 0.04;
const slowShare = 0.1;
/** Share of requests with a key that claim to be of another tenant. */
const claimShare = 0.1;
const leaveMilliseconds = { least: 20, most: 600 };
const pauseMilliseconds = { least: 30, most: 400 };
const usualRepeats = 1;
const hastyRepeats = 3;
const repeatPauseMilliseconds = 50;
const leastLeftMilliseconds = 100;
const promises: readonly (number | undefined)[] = [408, 421, 429, 503];
const final: readonly (number | undefined)[] = [400, 401, 403, 404, 413, 431];

/** Sends requests at random times from all hosts, with the habits of the platform's clients. */
export class CallerFleet implements AsyncDisposable {
  /** Multiplies the rate of requests. */
  loadFactor = 1;

  /** Whether callers repeat at once and more often. */
  hasty = false;

  readonly #options: CallerFleetOptions;

  readonly #pending = new Set<Promise<void>>();

  #running = false;

  #loop: Promise<void> = Promise.resolve();

  constructor(options: CallerFleetOptions) {
    this.#options = options;
  }

  start(): void {
    this.#running = true;
    this.#loop = this.#sendUntilStopped();
  }

  /** Begins no more requests, and waits for those that are open. */
  async stop(): Promise<void> {
    this.#running = false;
    await this.#loop;
    await Promise.all(this.#pending);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#running = false;
    await this.#loop;
  }

  async #sendUntilStopped(): Promise<void> {
    const { hosts, keyUses, random } = this.#options;
    const usualRate = keyUses?.reduce((sum, { sentPerSecond }) => sum + sentPerSecond, 0);
    const rate = ((usualRate ?? requestsPerSecond) * hosts.length) / usualHosts;
    let due = performance.now();
    while (this.#running) {
      due += (-Math.log(1 - random.next()) * 1000) / (rate * this.loadFactor);
      const wait = due - performance.now();
      if (wait >= 1) await sleep(wait);
      const entered = hosts.filter(({ node }) => this.#options.takesRequests(node));
      const host = entered[random.integerBelow(entered.length)];
      if (host !== undefined) this.#track(this.#call(host, this.#chooseRoute()));
    }
  }

  #track(call: Promise<void>): void {
    this.#pending.add(call);
    call.finally(() => this.#pending.delete(call));
  }

  #chooseRoute(): MeshRoute {
    const total = routes.reduce((sum, { weight }) => sum + weight, 0);
    let place = this.#options.random.next() * total;
    const found = routes.find(({ weight }) => {
      place -= weight;
      return place < 0;
    });
    return found ?? (routes[0] as MeshRoute);
  }

  #chooseCredentials(): Pick<SendOptions, 'key' | 'claimedTenant'> {
    const { keyUses, random } = this.#options;
    if (keyUses === undefined) return {};
    let place = random.next() * keyUses.reduce((sum, use) => sum + use.sentPerSecond, 0);
    const chosen = keyUses.find(({ sentPerSecond }) => {
      place -= sentPerSecond;
      return place < 0;
    });
    const claimedTenant =
      random.next() < claimShare
        ? meshTenants[random.integerBelow(meshTenants.length)]?.name
        : undefined;
    return { key: chosen?.key ?? '', claimedTenant };
  }

  /** Sends one request, and repeats it within its deadline as callers may. */
  async #call(host: CallerHost, route: MeshRoute): Promise<void> {
    const { random, sender, timeouts } = this.#options;
    const credentials = this.#chooseCredentials();
    const end = performance.now() + route.deadlineMilliseconds;
    const fresh = route.freshConnection || random.next() < freshShare;
    const leaves = route.idempotent && random.next() < leavingShare;
    const slow = route.bodyBytes > 0 && random.next() < slowShare;
    const draw = ({ least, most }: { least: number; most: number }) =>
      least + random.next() * (most - least);
    for (let repeats = 0; ; repeats += 1) {
      const left = end - performance.now();
      const outcome = await sender.send({
        target: host,
        route,
        ...credentials,
        timeoutMilliseconds: timeouts.shortestOf(route),
        deadlineMilliseconds: left,
        // Repeats go out on a new connection.
        agent: fresh || repeats > 0 ? undefined : host.agent,
        leaveAfterMilliseconds: leaves ? draw(leaveMilliseconds) : undefined,
        pauseMilliseconds: slow ? draw(pauseMilliseconds) : undefined,
      });
      const limit = this.hasty ? hastyRepeats : usualRepeats;
      if (leaves || repeats >= limit || !mayRepeat(route, outcome)) return;
      await sleep(this.#pauseBefore(outcome, end));
      if (end - performance.now() < leastLeftMilliseconds) return;
    }
  }

  #pauseBefore({ retryAfterMilliseconds = 0 }: SendOutcome, end: number): number {
    if (this.hasty) return 0;
    const most = (end - performance.now()) / 3;
    return Math.max(repeatPauseMilliseconds, Math.min(retryAfterMilliseconds, most));
  }
}

/** Whether a caller sends a request again after this outcome. */
function mayRepeat({ idempotent }: MeshRoute, { ended }: SendOutcome): boolean {
  const { end, sentAt, status } = ended;
  if (end === RequestEnd.left) return false;
  if (end === RequestEnd.notConnected) return true;
  if (end === RequestEnd.closed) return idempotent || sentAt === undefined;
  if (status === 200 || final.includes(status)) return false;
  return idempotent || promises.includes(status);
}
