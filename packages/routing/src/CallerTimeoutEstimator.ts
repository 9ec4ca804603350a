/** Number of recent requests of a route from which its callers' usual timeout is estimated. */
const windowSize = 16;
/** Number of requests below which there is no estimate. */
const minimumSamples = 4;
/**
 * Quantile of the remaining times that estimates the timeout. Most requests are first attempts,
 * which all state the full timeout; retried requests state less, and few callers have a longer one.
 */
const timeoutQuantile = 0.75;

/**
 * Estimates the total timeout of each route's callers from the remaining times that they state. A
 * caller that retries after a refusal states less; the difference is the time that it has already
 * waited, so its answer is late sooner than that of a first attempt.
 */
export class CallerTimeoutEstimator {
  readonly #samples = new Map<string, number[]>();

  /** Records a request and estimates how long its caller has already waited, in milliseconds. */
  estimateElapsed(route: string, remainingMilliseconds: number): number {
    const samples = this.#samples.get(route) ?? [];
    this.#samples.set(route, samples);
    samples.push(remainingMilliseconds);
    if (samples.length > windowSize) samples.shift();
    if (samples.length < minimumSamples) return 0;
    const sorted = [...samples].sort((first, second) => first - second);
    const timeout = sorted[Math.floor((sorted.length - 1) * timeoutQuantile)] ?? 0;
    return Math.max(0, timeout - remainingMilliseconds);
  }

  /** Drops the routes that are no longer configured. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#samples.keys()) if (!routes.has(route)) this.#samples.delete(route);
  }
}
