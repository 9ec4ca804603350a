import type { Logger } from '@hickorybridge/logger';
import type { PlatformStore, StoredObject } from '@hickorybridge/store';
import {
  type ControlChannel,
  type Location,
  type NodeIdentity,
  type SocketAddress,
} from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';
import type { NodeIndex } from './NodeIndex.js';

/** Key of the accepted deployment in the store. */
export const currentDeploymentKey = 'deployment/current';

const statusCallName = 'membership/number';
/** No object has this prefix, so that a watch of it gives nothing but the revision. */
const unusedPrefix = 'revision/';
const callTimeoutMilliseconds = 1000;
const retryMilliseconds = 500;

/** Seeds that never answer are tried more and more rarely. */
const maximumRetryMilliseconds = 10_000;

/** One peer alone may be old; three that know a deployment are enough. */
const neededAnswers = 3;

/** Settings of the bootstrap. */
export interface BootstrapOptions {
  readonly identity: NodeIdentity;
  readonly location: Location;
  readonly seeds: readonly SocketAddress[];
  /** Address of this node, which may be among the seeds. */
  readonly peerAddress: SocketAddress;
  readonly store: PlatformStore;
  readonly channel: ControlChannel;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly index: NodeIndex;
  /** Prefixes of the objects that are read once, besides the deployment. */
  readonly prefixes: readonly string[];
  /** Number of the deployment in effect here; 0 when there is none. */
  readonly deploymentNumber: () => number;
  /** Takes objects of the store. */
  readonly onObjects: (objects: readonly StoredObject[]) => void;
  /** Makes this node's state and a peer's equal; false when the peer does not answer. */
  readonly exchangeWith: (nodeId: string) => Promise<boolean>;
  /** Called after the first exchange with a peer, when this node knows others. */
  readonly onJoined: () => void;
}

/**
 * Fills the empty memory of a started node, from the store and from peers at the same time. It is
 * finished when a deployment is known and either the store has confirmed it or three peers have
 * (or all that answer), so that a single old peer does not decide.
 */
export class Bootstrap {
  readonly #options: BootstrapOptions;

  readonly #confirmedBy = new Set<string>();

  readonly #asked = new Set<string>();

  #storeAnswered = false;

  #revision = 0;

  #finished = false;

  #joined = false;

  constructor(options: BootstrapOptions) {
    this.#options = options;
    options.channel.handle(statusCallName, () => ({ number: options.deploymentNumber() }));
  }

  /** Revision of the store from which on a watch has to start; 0 while it is not known. */
  get revision(): number {
    return this.#storeAnswered ? this.#revision : 0;
  }

  /** Whether this node may serve with the deployment that it has found. */
  get finished(): boolean {
    this.#finished ||= this.#isConfirmed() && this.#options.deploymentNumber() > 0;
    return this.#finished;
  }

  /** Asks the store until it has answered once. */
  async askStore(signal: AbortSignal): Promise<void> {
    const { store, logger, onObjects, clock } = this.#options;
    while (!signal.aborted) {
      await this.#noteRevision();
      const deployment = await store.read(currentDeploymentKey);
      if (signal.aborted) return;
      if (!deployment.ok) {
        logger.debug('bootstrap-store-failed', 'the store did not answer; asking again', {
          detail: deployment.error.detail,
        });
        await clock.sleep(retryMilliseconds, signal);
        continue;
      }
      if (deployment.value !== undefined) onObjects([deployment.value]);
      if (!(await this.#listObjects())) continue;
      this.#storeAnswered = true;
      return;
    }
  }

  /** Asks for the store's revision before anything is read, so that no change falls in between. */
  async #noteRevision(): Promise<void> {
    const mark = await this.#options.store.watch(unusedPrefix, 0, 0);
    if (mark.ok) this.#revision = mark.value.revision;
  }

  async #listObjects(): Promise<boolean> {
    const { onObjects, prefixes, store } = this.#options;
    for (const prefix of prefixes) {
      const objects = await store.list(prefix);
      if (!objects.ok) return false;
      onObjects(objects.value);
    }
    return true;
  }

  /** Asks peers until a deployment is confirmed and, when there are others, one has answered. */
  async askPeers(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    let delay = retryMilliseconds;
    while (!signal.aborted) {
      if (!this.#joined) await this.#joinSeeds();
      await this.#askKnownPeers(signal);
      const alone = this.#seeds().length === 0 && this.#peers().length === 0;
      if (this.finished && (this.#joined || alone)) return;
      await clock.sleep(delay, signal);
      // A node that may not serve yet keeps asking quickly.
      if (this.finished) delay = Math.min(delay * 2, maximumRetryMilliseconds);
    }
  }

  async #joinSeeds(): Promise<void> {
    const { channel } = this.#options;
    const results = await Promise.all(
      this.#seeds().map((seed) => channel.connect(seed, callTimeoutMilliseconds)),
    );
    for (const result of results) {
      if (!result.ok || result.value.nodeId === this.#options.identity.nodeId) continue;
      await this.#ask(result.value.nodeId);
    }
  }

  /** Asks up to three peers at a time, of different failure domains first. */
  async #askKnownPeers(signal: AbortSignal): Promise<void> {
    let candidates = this.#unasked();
    while (candidates.length > 0 && !this.#hasEnoughAnswers() && !signal.aborted) {
      await Promise.all(candidates.slice(0, neededAnswers).map((peer) => this.#ask(peer)));
      candidates = this.#unasked();
    }
    // Whoever did not answer is asked again in the next round.
    if (!this.#hasEnoughAnswers()) this.#asked.clear();
  }

  async #ask(peer: string): Promise<void> {
    const { channel, exchangeWith, deploymentNumber, onJoined } = this.#options;
    this.#asked.add(peer);
    const result = await channel.call(peer, statusCallName, {}, callTimeoutMilliseconds);
    if (!result.ok) return;
    const number = parseNumber(result.value);
    const exchanged = await exchangeWith(peer);
    if (!exchanged) return;
    if (number > 0 && deploymentNumber() >= number) this.#confirmedBy.add(peer);
    if (this.#joined) return;
    this.#joined = true;
    onJoined();
  }

  #seeds(): SocketAddress[] {
    const { seeds, peerAddress } = this.#options;
    return seeds.filter(({ host, port }) => host !== peerAddress.host || port !== peerAddress.port);
  }

  #hasEnoughAnswers(): boolean {
    return this.#confirmedBy.size >= neededAnswers;
  }

  #isConfirmed(): boolean {
    if (this.#storeAnswered || this.#hasEnoughAnswers()) return true;
    return this.#confirmedBy.size > 0 && this.#unasked().length === 0;
  }

  #peers(): string[] {
    const { index, identity } = this.#options;
    return index.all().flatMap(({ nodeId }) => (nodeId === identity.nodeId ? [] : [nodeId]));
  }

  #unasked(): string[] {
    const { index, random, location } = this.#options;
    const rest = this.#peers().filter((peer) => !this.#asked.has(peer));
    const shuffled = rest
      .map((peer) => ({ peer, order: random.next() }))
      .sort((first, second) => first.order - second.order)
      .map(({ peer }) => peer);
    const domainsSeen = new Set<string>([location.failureDomain]);
    const first = shuffled.filter((peer) => {
      const domain = index.get(peer)?.failureDomain ?? '';
      if (domainsSeen.has(domain)) return false;
      domainsSeen.add(domain);
      return true;
    });
    return [...first, ...shuffled.filter((peer) => !first.includes(peer))];
  }
}

function parseNumber(body: unknown): number {
  const number = (body as { readonly number?: unknown } | null)?.number;
  return Number.isSafeInteger(number) ? (number as number) : 0;
}
