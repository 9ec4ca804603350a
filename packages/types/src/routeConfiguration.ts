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
}

/** Configuration of a service. */
export interface ServiceDefinition {
  readonly name: string;
  readonly maxConnections: number;
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
}
