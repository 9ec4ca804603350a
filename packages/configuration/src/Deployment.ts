/** A kind of request of a service, as the deployment file describes it. */
export interface RequestKind {
  readonly name: string;
  /** HTTP method in upper case. */
  readonly method: string;
  /** Path pattern: `/boxes/:boxId`; a last segment `*` matches the rest of the path. */
  readonly path: string;
  readonly idempotent: boolean;
  readonly deadlineMilliseconds: number;
  /** Weight in the schedule; greater is more important. */
  readonly weight: number;
}

/** A service and the host names under which callers ask for it. */
export interface Service {
  readonly name: string;
  readonly hosts: readonly string[];
  readonly kinds: readonly RequestKind[];
}

/** A region and its failure domains. */
export interface Region {
  readonly name: string;
  readonly failureDomains: readonly string[];
}

/** Names of the routing policies; all but `adaptive` are baselines. */
export const PolicyName = {
  adaptive: 'adaptive',
  random: 'random',
  roundRobin: 'round-robin',
  leastOutstanding: 'least-outstanding',
  twoChoices: 'two-choices',
} as const;

export type PolicyName = (typeof PolicyName)[keyof typeof PolicyName];

/** Rules for the choice of backend servers, retries and hedged requests. */
export interface RoutingSettings {
  readonly policy: PolicyName;
  /** Backend servers of a service that one router uses at most. */
  readonly subsetSize: number;
  /** Price of the link between regions, in milliseconds of waiting for each kilobyte. */
  readonly linkPriceMillisecondsPerKilobyte: number;
  /** Further tries as a share of first tries, from 0 to 1. */
  readonly retryShare: number;
  /** Hedged requests as a share of requests, from 0 to 1. */
  readonly hedgeShare: number;
  /** Tries for one request at most, the first included. */
  readonly maxAttempts: number;
}

/** Budgets for measuring, in bytes a second. */
export interface MeasuringBudget {
  /** For each region, all its nodes together. */
  readonly regionBytesPerSecond: number;
  /** For the link between regions, each way. */
  readonly linkBytesPerSecond: number;
}

/** The whole intent of the operators, applied as one file. */
export interface Deployment {
  readonly name: string;
  readonly regions: readonly Region[];
  readonly services: readonly Service[];
  readonly routing: RoutingSettings;
  readonly measuring: MeasuringBudget;
  readonly idempotency: {
    /** Time for which a claimed key is remembered, in seconds. */
    readonly retentionSeconds: number;
  };
}

/** A deployment that was accepted by the store. */
export interface AcceptedDeployment {
  /** Rises by one with each accepted deployment; the first is 1. */
  readonly number: number;
  /** Unique identity of the `apply` that wrote it. */
  readonly applyId: string;
  /** Wall-clock time of the apply, milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  /** The file as the operator wrote it. */
  readonly text: string;
  /** Operator and host that applied it, for people. */
  readonly appliedBy?: string | undefined;
  /** Identity of the apply before it; settles an unknown write that was followed by another. */
  readonly previousApplyId?: string | undefined;
}
