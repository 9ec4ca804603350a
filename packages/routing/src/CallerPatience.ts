/** Latest requests of a route that its callers' usual patience is taken from. */
const sampleCount = 16;
/** Below this number of requests nothing is concluded. */
const minimumSamples = 4;
/**
 * Most requests are first attempts, which all state the same time; those that return state less,
 * and few callers have more.
 */
const usualQuantile = 0.75;

/**
 * Learns how long the callers of each route wait in all, from the time that they say they have
 * left. A caller that returns after a refusal has less, and has waited for the difference: its
 * answer is late sooner than that of a first attempt.
 */
export class CallerTimeoutEstimator {
  readonly #samples = new Map<string, number[]>();

  /** Takes in a request, and gives how long its caller has waited before, in milliseconds. */
  estimateElapsed(route: string, remainingMilliseconds: number): number {
    const samples = this.#samples.get(route) ?? [];
    this.#samples.set(route, samples);
    samples.push(remainingMilliseconds);
    if (samples.length > sampleCount) samples.shift();
    if (samples.length < minimumSamples) return 0;
    const sorted = [...samples].sort((first, second) => first - second);
    const usual = sorted[Math.floor((sorted.length - 1) * usualQuantile)] ?? 0;
    return Math.max(0, usual - remainingMilliseconds);
  }

  /** Forgets the routes that are not configured any more. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#samples.keys()) if (!routes.has(route)) this.#samples.delete(route);
  }
}
