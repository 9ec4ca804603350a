import { routes, type MeshRoute } from '../mesh/meshShape.js';

/** Time-outs of the routes in the current configuration and in the one before it. */
export class RouteTimeouts {
  #current: ReadonlyMap<string, number> = new Map();

  #previous: ReadonlyMap<string, number> = new Map();

  get current(): ReadonlyMap<string, number> {
    return this.#current;
  }

  /** Multiplies the usual time-outs of all routes. */
  change(factor: number): void {
    this.#previous = this.#current;
    this.#current = new Map(
      routes.map(({ name, timeoutMilliseconds }) => [
        name,
        Math.round(timeoutMilliseconds * factor),
      ]),
    );
  }

  /** The shortest time-out of a route that may be in force. */
  shortestOf({ name, timeoutMilliseconds }: MeshRoute): number {
    return Math.min(
      this.#current.get(name) ?? timeoutMilliseconds,
      this.#previous.get(name) ?? timeoutMilliseconds,
    );
  }
}
