/** Position of a waiting request in the order of service. */
export interface ServiceRank {
  /** Calls, whose callers hold slots elsewhere until the call ends. */
  readonly isCall: boolean;
  /** Whether the request's tenant or kind is served far less often than all. */
  readonly isStarved: boolean;
  /** Round of the fair shares in which the request is served. */
  readonly round: number;
  readonly tenantPriority: number;
  /** Value density, lowered for requests with a long target latency. */
  readonly urgency: number;
}

/** Compares for sorting: negative if the first request goes before the second. */
export function compareServiceRanks(first: ServiceRank, second: ServiceRank): number {
  return (
    Number(second.isCall) - Number(first.isCall) ||
    Number(second.isStarved) - Number(first.isStarved) ||
    first.round - second.round ||
    first.tenantPriority - second.tenantPriority ||
    second.urgency - first.urgency
  );
}
