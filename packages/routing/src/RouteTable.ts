import type { Route } from '@hickorybridge/types';

interface HostRoutes {
  readonly byPrefix: Map<string, Route>;
  /** Distinct prefix lengths, longest first. */
  lengths: readonly number[];
}

/**
 * Finds the route of a request by its host and the longest matching prefix of its path. The cost of
 * a lookup grows with the number of distinct prefix lengths, not with the number of routes.
 */
export class RouteTable {
  readonly #routesByHost = new Map<string, HostRoutes>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const hostRoutes = this.#routesByHost.get(route.host) ?? { byPrefix: new Map(), lengths: [] };
      this.#routesByHost.set(route.host, hostRoutes);
      // The first of several routes with the same prefix takes precedence.
      if (!hostRoutes.byPrefix.has(route.pathPrefix))
        hostRoutes.byPrefix.set(route.pathPrefix, route);
    }
    for (const hostRoutes of this.#routesByHost.values()) {
      const lengths = new Set([...hostRoutes.byPrefix.keys()].map((prefix) => prefix.length));
      hostRoutes.lengths = [...lengths].sort((first, second) => second - first);
    }
  }

  /** Finds the route for a request target: the path and query as sent by the caller. */
  find(host: string, target: string): Route | undefined {
    const queryStart = target.indexOf('?');
    const path = queryStart < 0 ? target : target.slice(0, queryStart);
    const routes = this.#routesByHost.get(host.toLowerCase());
    for (const length of routes?.lengths ?? []) {
      const route = length <= path.length ? routes?.byPrefix.get(path.slice(0, length)) : undefined;
      if (route !== undefined) return route;
    }
    return undefined;
  }
}
