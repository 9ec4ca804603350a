/** One part of the traffic of a route. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the weights of the other parts; 0 or more. */
  readonly weight: number;
}

/** How requests of one host and path prefix are handled. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header, in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Longest time that a caller waits for the answer, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer is fully useful, in milliseconds. */
  readonly targetMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Backend servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** Where requests go; never empty. */
  readonly services: readonly WeightedService[];
}

/** What is configured for a service. */
export interface ServiceDefinition {
  readonly name: string;
  readonly maxConnections: number;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** The whole configuration of a deployment. */
export interface RouteConfiguration {
  /** Rises with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  readonly limits: CallerLimits;
}
