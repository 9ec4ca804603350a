import { setMaxListeners } from 'node:events';
import { SimulatedClock, SimulatedStore } from '@hickorybridge/coordination';
import { RandomSource } from '@hickorybridge/utils';
import { DeploymentObserver } from './DeploymentObserver.js';

/** Settings of the baseline. */
export interface DirectWatchFleetOptions {
  readonly seed: number;
  readonly nodes: number;
}

const storeMilliseconds = 3;
const storeCallsPerSecond = 2000;
const watchMilliseconds = 20_000;
const retryMilliseconds = 1000;
const PREFIXES = ['deployment/', 'verdicts/'] as const;

/** The baseline: every node watches the store itself, and tries again a second after a failure. */
export class DirectWatchFleet implements AsyncDisposable {
  readonly clock = new SimulatedClock();

  readonly store: SimulatedStore;

  readonly observer = new DeploymentObserver();

  readonly #options: DirectWatchFleetOptions;

  readonly #stop = new AbortController();

  constructor(options: DirectWatchFleetOptions) {
    this.#options = options;
    this.store = new SimulatedStore(this.clock, new RandomSource(options.seed));
    // Every watch listens to the signal.
    setMaxListeners(0, this.#stop.signal);
    this.store.delayMilliseconds = storeMilliseconds;
    this.store.callsPerSecond = storeCallsPerSecond;
  }

  /** Starts all nodes and waits until they have the first deployment. */
  async start(): Promise<void> {
    this.applyDeployment(1);
    for (let index = 0; index < this.#options.nodes; index += 1) {
      for (const prefix of PREFIXES) this.#watch(`node-${index}`, prefix);
      await this.clock.advance(5000 / this.#options.nodes);
    }
    await this.secondsUntilInEffect(1, 60_000);
  }

  /** Writes a deployment as an operator does. */
  applyDeployment(number: number): void {
    this.store.put('deployment/current', JSON.stringify({ number }));
  }

  /** Waits until all nodes have a deployment; gives the time in seconds, or the limit. */
  async secondsUntilInEffect(number: number, limitMilliseconds: number): Promise<number> {
    const startedAt = this.clock.now();
    const all = () => this.observer.isInEffect(number, this.#options.nodes);
    await this.clock.advanceUntil(all, limitMilliseconds, 10);
    return (this.clock.now() - startedAt) / 1000;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.clock.advance(5000);
  }

  async #watch(nodeId: string, prefix: string): Promise<void> {
    const { signal } = this.#stop;
    let revision = 0;
    let highest = 0;
    while (!signal.aborted) {
      const result = await this.store.watch(prefix, revision, watchMilliseconds, signal);
      if (signal.aborted) return;
      if (!result.ok) {
        await this.clock.sleep(retryMilliseconds, signal);
        continue;
      }
      revision = result.value.revision;
      for (const { value } of result.value.changed) {
        const { number } = JSON.parse(value) as { readonly number: number };
        if (number > highest) this.observer.note(nodeId, number, this.clock.now());
        highest = Math.max(highest, number);
      }
    }
  }
}
