/** Weight of a new sample in the smoothed work. */
const smoothingFactor = 0.1;
/** Work assumed before the first answer, as a share of the route's target duration. */
const initialTargetShare = 0.3;

/** Estimates the work of each route's requests, in milliseconds at the usual speed of the hosts. */
export class RouteWorkEstimator {
  readonly #workByRoute = new Map<string, number>();

  expectedWork(route: string, targetMilliseconds: number): number {
    return this.#workByRoute.get(route) ?? targetMilliseconds * initialTargetShare;
  }

  record(route: string, milliseconds: number): void {
    const known = this.#workByRoute.get(route);
    const smoothed =
      known === undefined ? milliseconds : known + smoothingFactor * (milliseconds - known);
    this.#workByRoute.set(route, smoothed);
  }

  /** Drops the routes that are no longer configured. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.#workByRoute.keys())
      if (!routes.has(route)) this.#workByRoute.delete(route);
  }
}
