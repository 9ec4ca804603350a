/** Share of a new sample in a smoothed time. */
const smoothing = 0.1;
/** Assumed share of a route's target before its first answer. */
const initialTargetShare = 0.3;

/** Smoothed work of the requests of each route, in milliseconds at the usual speed of the hosts. */
export class RouteWorkEstimator {
  readonly #times = new Map<string, number>();

  expectedWork(route: string, targetMilliseconds: number): number {
    return this.#times.get(route) ?? targetMilliseconds * initialTargetShare;
  }

  record(route: string, milliseconds: number): void {
    const known = this.#times.get(route);
    const smoothed =
      known === undefined ? milliseconds : known + smoothing * (milliseconds - known);
    this.#times.set(route, smoothed);
  }

  /** Forgets the routes that are not configured any more. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#times.keys()) if (!routes.has(route)) this.#times.delete(route);
  }
}
