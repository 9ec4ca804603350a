/** Kinds that are remembered; more than a service has routes. */
const maxKinds = 256;
/** Keeps a target that was lowered in the configuration from counting for long. */
const decayPerRequest = 0.999;

/**
 * Target latency of each kind: the longest one that its requests lately had left on arrival. A
 * repeated request has less left than a new one, and must not go before it for that reason.
 */
export class KindTargets {
  readonly #targetByKind = new Map<string, number>();

  /** Records a request's remaining target latency and returns the one of its kind. */
  record(kind: string, remainingMilliseconds: number): number {
    const known = this.#targetByKind.get(kind) ?? 0;
    const target = Math.max(remainingMilliseconds, known * decayPerRequest);
    this.#targetByKind.set(kind, target);
    if (this.#targetByKind.size > maxKinds) {
      const [first] = this.#targetByKind.keys();
      if (first !== undefined) this.#targetByKind.delete(first);
    }
    return target;
  }
}
