import type { MetricSample } from './parseMetrics.js';

/** What happened to one kind between two readings of the metrics. */
export interface KindRate {
  readonly service: string;
  readonly kind: string;
  readonly requestsPerSecond: number;
  /** Shares of requests, from 0 to 1. */
  readonly notRunShare: number;
  readonly unknownShare: number;
  /** Upper bounds of the quantiles, in milliseconds; absent without requests. */
  readonly p50Milliseconds?: number | undefined;
  readonly p99Milliseconds?: number | undefined;
}

const requestsName = 'hickorybridge_requests_total';
const bucketName = 'hickorybridge_request_duration_seconds_bucket';

/** Computes the rates of every kind from two readings, the busiest first. */
export function kindRates(
  before: readonly MetricSample[],
  after: readonly MetricSample[],
  seconds: number,
): KindRate[] {
  const earlier = new Map(before.map((sample) => [keyOf(sample), sample.value]));
  const changes = after.map((sample) => ({
    ...sample,
    value: sample.value - (earlier.get(keyOf(sample)) ?? 0),
  }));
  const requests = changes.filter((sample) => sample.name === requestsName);
  const kinds = new Map(requests.map((sample) => [kindOf(sample), sample.labels]));
  return [...kinds]
    .map(([kind, { service = '', kind: name = '' }]) => {
      const own = requests.filter((sample) => kindOf(sample) === kind);
      const buckets = changes.filter(
        (sample) => sample.name === bucketName && kindOf(sample) === kind,
      );
      const total = own.reduce((sum, sample) => sum + sample.value, 0);
      const share = (outcome: string) =>
        total === 0
          ? 0
          : (own.find((sample) => sample.labels.outcome === outcome)?.value ?? 0) / total;
      return {
        service,
        kind: name,
        requestsPerSecond: total / seconds,
        notRunShare: share('not-run'),
        unknownShare: share('unknown'),
        p50Milliseconds: quantile(buckets, 0.5),
        p99Milliseconds: quantile(buckets, 0.99),
      };
    })
    .sort((first, second) => second.requestsPerSecond - first.requestsPerSecond);
}

/** Gives the bound of the bucket that holds the quantile. */
function quantile(buckets: readonly MetricSample[], share: number): number | undefined {
  const sorted = buckets
    .map((bucket) => ({ bound: parseBound(bucket.labels.le), count: bucket.value }))
    .sort((first, second) => first.bound - second.bound);
  const total = sorted.at(-1)?.count ?? 0;
  if (total === 0) return undefined;
  const bucket = sorted.find(({ count }) => count >= share * total);
  return bucket === undefined ? undefined : bucket.bound * 1_000;
}

function parseBound(text: string | undefined): number {
  return text === undefined || text === '+Inf' ? Number.POSITIVE_INFINITY : Number(text);
}

function kindOf({ labels }: MetricSample): string {
  return `${labels.service ?? ''}/${labels.kind ?? ''}`;
}

function keyOf({ name, labels }: MetricSample): string {
  return `${name} ${JSON.stringify(labels)}`;
}
