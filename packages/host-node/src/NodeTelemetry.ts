import type { OccupancySummary, RefusalSummary } from '@hickorybridge/admission';
import type { QuotaCounts } from '@hickorybridge/coordination';
import type { Logger } from '@hickorybridge/logger';
import type { HedgeEvent } from '@hickorybridge/routing';
import { Counter, LatencyHistogram } from '@hickorybridge/telemetry';
import type { ConnectionAccount, EvictionReason } from '@hickorybridge/utils';

import type { FinishedRequest } from './callers/CallersListener.js';

/** Collects the metrics of a node, and logs requests that failed or missed their target. */
export class NodeTelemetry {
  readonly #logger: Logger;

  readonly #quotaCounts: () => QuotaCounts | undefined;

  readonly #requests = new Map<string, Counter>();

  readonly #durations = new Map<string, LatencyHistogram>();

  readonly #hedges = new Map<string, Counter>();

  readonly #storeCalls = new Map<string, Counter>();

  readonly #evictions = new Map<string, Counter>();

  #account: ConnectionAccount | undefined;

  /** Labelled by the tenant's priority, since 10,000 tenants are too many series. */
  readonly #tenantRefusals = new Map<string, Counter>();

  /** The seconds in flight and waiting are sums over all requests. */
  readonly #backendServerUsage = { inFlightSeconds: 0, waitingSeconds: 0, fullSeconds: 0 };

  #evacuatedFailureDomains = 0;

  #isRateLimited = false;

  #hostEntryPendingMilliseconds = 0;

  /** Takes the logger, and what returns the counts of the limits; `undefined` without limits. */
  constructor(logger: Logger, quotaCounts: () => QuotaCounts | undefined = () => undefined) {
    this.#logger = logger;
    this.#quotaCounts = quotaCounts;
  }

  recordStoreCall(operation: string, result: string): void {
    getOrCreateCounter(this.#storeCalls, `operation="${operation}",result="${result}"`).add();
  }

  /** Counts a hedge that was sent, won, was cancelled, or was suppressed for a reason. */
  recordHedge(route: string, event: HedgeEvent): void {
    getOrCreateCounter(this.#hedges, `route="${route}",result="${event}"`).add();
  }

  /** Sets the number of failure domains whose backend servers get no requests. */
  setEvacuatedFailureDomains(count: number): void {
    this.#evacuatedFailureDomains = count;
  }

  /** Sets whether the rate of requests to the backend server is limited because it is cold. */
  setRateLimited(isRateLimited: boolean): void {
    this.#isRateLimited = isRateLimited;
  }

  /** Sets for how long the store has not held the entry of this host; 0 if it does. */
  setHostEntryPending(milliseconds: number): void {
    this.#hostEntryPendingMilliseconds = milliseconds;
  }

  /** Reports what an account holds. */
  observe(account: ConnectionAccount): void {
    this.#account = account;
  }

  /** Counts a connection that was closed to keep a limit. */
  recordEviction(listener: string, reason: EvictionReason): void {
    const labels = `listener="${listener}",reason="${reason}"`;
    getOrCreateCounter(this.#evictions, labels).add();
    this.#logger.warn('connection-evicted', 'closed a connection to keep a limit', {
      listener,
      reason,
    });
  }

  /** Adds the usage of the backend server since the previous summary to the totals. */
  recordBackendServerUsage(summary: OccupancySummary): void {
    this.#backendServerUsage.inFlightSeconds += summary.inFlightMilliseconds / 1000;
    this.#backendServerUsage.waitingSeconds += summary.waitingMilliseconds / 1000;
    this.#backendServerUsage.fullSeconds += summary.fullMilliseconds / 1000;
  }

  /** Adds the refusals of tenants since the previous summary to the totals. */
  recordRefusals({ refusalsByPriority }: RefusalSummary): void {
    for (const [priority, refusals] of refusalsByPriority) {
      getOrCreateCounter(this.#tenantRefusals, `priority="${priority}"`).add(refusals);
    }
  }

  recordFinishedRequest({
    depth,
    milliseconds,
    outcome,
    requestId,
    route,
    service,
  }: FinishedRequest): void {
    const name = route?.name ?? '';
    const result = outcome.type === 'answered' ? String(outcome.head.status) : outcome.reason;
    getOrCreateCounter(this.#requests, `route="${name}",result="${result}"`).add();
    this.#getOrCreateDurationHistogram(name).record(milliseconds);
    const isLate = route !== undefined && milliseconds > route.targetMilliseconds;
    if (outcome.type === 'answered' && outcome.head.status < 500 && !isLate) return;
    this.#logger.info('request-finished', 'a request failed or missed its target latency', {
      requestId,
      route: name,
      service,
      result,
      mayHaveRun: outcome.type === 'answered' ? true : outcome.mayHaveRun,
      detail: outcome.type === 'answered' ? undefined : outcome.detail,
      returnMilliseconds:
        outcome.type === 'answered' ? undefined : Math.round(outcome.returnMilliseconds ?? 0),
      milliseconds: Math.round(milliseconds),
      target: route?.targetMilliseconds,
      depth,
    });
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    const lines = [
      ...renderCounters('hickorybridge_requests_total', this.#requests),
      ...renderCounters('hickorybridge_hedged_requests_total', this.#hedges),
      ...renderCounters('hickorybridge_store_calls_total', this.#storeCalls),
      ...renderCounters('hickorybridge_tenant_refusals_total', this.#tenantRefusals),
    ];
    for (const [route, histogram] of this.#durations) {
      const label = `route="${route}"`;
      const name = 'hickorybridge_request_duration_seconds';
      for (const quantile of [0.5, 0.99]) {
        const seconds = histogram.quantile(quantile) / 1000;
        lines.push(`${name}{${label},quantile="${quantile}"} ${seconds}`);
      }
      lines.push(`${name}_sum{${label}} ${histogram.sumMilliseconds / 1000}`);
      lines.push(`${name}_count{${label}} ${histogram.count}`);
    }
    const { fullSeconds, inFlightSeconds, waitingSeconds } = this.#backendServerUsage;
    lines.push(
      `hickorybridge_requests_in_flight_seconds_total ${inFlightSeconds}`,
      `hickorybridge_requests_waiting_seconds_total ${waitingSeconds}`,
      `hickorybridge_backend_server_full_seconds_total ${fullSeconds}`,
    );
    lines.push(`hickorybridge_backend_server_rate_limited ${this.#isRateLimited ? 1 : 0}`);
    lines.push(
      `hickorybridge_host_entry_pending_seconds ${this.#hostEntryPendingMilliseconds / 1000}`,
    );
    lines.push(`hickorybridge_evacuated_failure_domains ${this.#evacuatedFailureDomains}`);
    const counts = this.#quotaCounts();
    if (counts !== undefined) lines.push(...renderQuotaCounts(counts));
    lines.push(...renderCounters('hickorybridge_connections_evicted_total', this.#evictions));
    for (const [listener, count] of this.#account?.counts ?? []) {
      lines.push(`hickorybridge_client_connections{listener="${listener}"} ${count}`);
    }
    lines.push(`hickorybridge_client_memory_bytes ${this.#account?.heldBytes ?? 0}`);
    lines.push(`hickorybridge_resident_memory_bytes ${process.memoryUsage.rss()}`);
    return `${lines.join('\n')}\n`;
  }

  #getOrCreateDurationHistogram(route: string): LatencyHistogram {
    const existing = this.#durations.get(route);
    if (existing !== undefined) return existing;
    const histogram = new LatencyHistogram();
    this.#durations.set(route, histogram);
    return histogram;
  }
}

function getOrCreateCounter(counters: Map<string, Counter>, labels: string): Counter {
  const existing = counters.get(labels);
  if (existing !== undefined) return existing;
  const counter = new Counter();
  counters.set(labels, counter);
  return counter;
}

function renderQuotaCounts(counts: QuotaCounts): string[] {
  const requests = 'hickorybridge_quota_requests_total';
  const tokens = 'hickorybridge_quota_tokens_total';
  const calls = 'hickorybridge_quota_calls_total';
  return [
    `${requests}{result="granted"} ${counts.granted}`,
    `${requests}{result="refused"} ${counts.refused}`,
    `${tokens}{kind="unused"} ${counts.unused}`,
    `${tokens}{kind="returned"} ${counts.returned}`,
    `${tokens}{kind="brokered"} ${counts.brokered}`,
    `${calls}{result="answered"} ${counts.calls - counts.failedCalls}`,
    `${calls}{result="failed"} ${counts.failedCalls}`,
  ];
}

function renderCounters(name: string, counters: ReadonlyMap<string, Counter>): string[] {
  return [...counters].map(([labels, counter]) => `${name}{${labels}} ${counter.value}`);
}
