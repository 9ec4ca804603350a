import type { Route } from '@hickorybridge/types';

/** Finds the route of a request by its host and the longest prefix of its path. */
export class RouteTable {
  readonly #routesByHost = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const ofHost = this.#routesByHost.get(route.host);
      if (ofHost === undefined) this.#routesByHost.set(route.host, [route]);
      else ofHost.push(route);
    }
    for (const ofHost of this.#routesByHost.values()) {
      ofHost.sort((first, second) => second.pathPrefix.length - first.pathPrefix.length);
    }
  }

  /** `target` is the path and query as the caller sent them. */
  find(host: string, target: string): Route | undefined {
    const queryStart = target.indexOf('?');
    const path = queryStart < 0 ? target : target.slice(0, queryStart);
    const routes = this.#routesByHost.get(host.toLowerCase());
    return routes?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }
}
