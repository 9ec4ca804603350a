/** A service that receives a weighted part of a route's traffic. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the weights of the route's other services; 0 or more. */
  readonly weight: number;
}

/** Handling of requests for one host and path prefix. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header, in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Maximum time that a caller waits for the answer, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer is fully useful, in milliseconds. */
  readonly targetMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of backend servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** Where requests go; never empty. */
  readonly services: readonly WeightedService[];
  /** Whether callers need no API key; absent if they do. */
  readonly isPublic?: boolean;
  /** Regions whose backend servers may get requests; absent if all may. */
  readonly allowedRegions?: readonly string[];
}

/** Configuration of a service. */
export interface ServiceDefinition {
  readonly name: string;
  readonly maxConnections: number;
  /** Path at which a backend server says whether it is healthy and not leaving; absent if unknown. */
  readonly healthPath?: string;
  /** How long a backend server stays cold after a start, in milliseconds; absent if unknown. */
  readonly coldMilliseconds?: number;
  /** Requests per second that a cold backend server can take; absent if unlimited. */
  readonly coldRequestsPerSecond?: number;
}

/** An organisation whose callers identify themselves with API keys. */
export interface Tenant {
  readonly name: string;
  /** 0 is the most urgent. Takes precedence over the priority of a route; absent if not set. */
  readonly priority?: number;
  /** Quota across all nodes, in requests per second; 0 for no quota. */
  readonly requestsPerSecond: number;
  /** Requests beyond the rate that the quota allows. */
  readonly burst: number;
  /** Regions whose backend servers may get requests; absent if all may. */
  readonly allowedRegions?: readonly string[];
}

/** Size limits and timeouts for requests from callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** The whole configuration of a deployment. */
export interface RouteConfiguration {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  readonly limits: CallerLimits;
  /** The tenant that holds each API key; absent if callers need no key. */
  readonly tenantsByKey?: ReadonlyMap<string, Tenant>;
}
