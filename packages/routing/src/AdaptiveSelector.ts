import {
  type BackendServerDirectory,
  type BackendServerEntry,
  Distance,
  type LoadReport,
} from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';
import type { BackendServerLoad } from './BackendServerLoad.js';
import type {
  BackendServerSelector,
  SelectionRequest,
  TryResult,
} from './BackendServerSelector.js';
import { BackendServerSubset } from './BackendServerSubset.js';
import { NetworkDelays } from './NetworkDelays.js';
import type { SelectorOptions } from './SelectorOptions.js';
import { ServiceLoad, expectedLimit } from './ServiceLoad.js';

/** Number of candidates sampled from each tier; unused places of a tier pass to the next one. */
const sampleSizes = [3, 2, 2] as const;
/** Time constant of the exponential decay of a reported queue's weight. */
const reportDecayMilliseconds = 100;
/** Time constant of the exponential decay of a smoothed response time's weight. */
const responseDecayMilliseconds = 400;
/**
 * Service time assumed without recent information, as a multiple of the service's mean. It is below
 * 1 so that backend servers without recent reports are still tried occasionally, even when the
 * others have no queue.
 */
const unknownServiceFactor = 0.9;
/** Time constant of the exponential decay of the failure rate. */
const failureDecayMilliseconds = 1_000;
/** Upper bound of the failure rate, so that the cost stays finite and a recovery is detected. */
const maxFailureRate = 0.95;
/** Time without progress after which a backend server counts as stalled, in mean service times. */
const stallFactor = 3;
/**
 * Weight of the queueing time. A request that joins a queue also delays those behind it. With
 * weight 1 a queue grows until it costs every request as much as a round trip to the other region.
 */
const waitingWeight = 4;
/**
 * Weight of the smoothed response time, which takes effect when it is far longer than the reported
 * service time: a report does not include delays between the node and its backend server or router.
 */
const responseTimeWeight = 0.5;
/** Weight of the utilization below the limit; it only breaks ties between equal candidates. */
const utilizationWeight = 0.1;
const bytesPerKilobyte = 1_000;

/** Chooses the candidate with the lowest expected completion time among a few sampled ones. */
export class AdaptiveSelector implements BackendServerSelector {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #linkPrice: number;

  readonly #directory: BackendServerDirectory;

  readonly #subset: BackendServerSubset;

  readonly #delays: NetworkDelays;

  readonly #services = new Map<string, ServiceLoad>();

  constructor({ settings, context, directory, clock, random }: SelectorOptions) {
    this.#clock = clock;
    this.#random = random;
    this.#linkPrice = settings.linkPriceMillisecondsPerKilobyte;
    this.#directory = directory;
    this.#delays = new NetworkDelays(context.location);
    this.#subset = new BackendServerSubset({ context, directory, size: settings.subsetSize });
  }

  select(request: SelectionRequest): BackendServerEntry | undefined {
    const tiers = this.#subset.eligible(request.service, request.excluded);
    const service = this.#serviceLoad(request.service);
    service.retain(this.#directory.list(request.service));
    const now = this.#clock.now();
    const linkCost = (request.expectedBytes / bytesPerKilobyte) * this.#linkPrice;
    let best: BackendServerEntry | undefined;
    let lowest = Infinity;
    let quota = 0;
    for (const distance of [0, 1, 2] as const) {
      quota += sampleSizes[distance];
      const distanceCost = distance === Distance.otherRegion ? linkCost : 0;
      const sample = this.#sample(tiers[distance], quota);
      quota -= sample.length;
      for (const entry of sample) {
        const load = service.loadOf(entry, now);
        if (request.hedged === true && !hasFreeSlot(service, load, now)) continue;
        const cost = this.#expectedCompletionTime(service, load, now) + distanceCost;
        if (cost < lowest) {
          lowest = cost;
          best = entry;
        }
      }
    }
    return best;
  }

  recordSent(entry: BackendServerEntry): void {
    const now = this.#clock.now();
    this.#serviceLoad(entry.service).loadOf(entry, now).recordSent(now);
  }

  recordResult(entry: BackendServerEntry, result: TryResult): void {
    const now = this.#clock.now();
    const load = this.#serviceLoad(entry.service).loadOf(entry, now);
    load.recordFinished(now);
    switch (result.type) {
      case 'answered':
        load.recordOutcome(result.serverError === true ? 1 : 0, now);
        this.recordReport(entry, result.report, result.elapsedMilliseconds);
        break;
      case 'refused':
        if (!isSaturated(result.report)) load.recordOutcome(1, now);
        if (result.report !== undefined) this.#applyReport(load, result.report);
        break;
      case 'lost':
        load.recordOutcome(1, now);
        break;
      default:
    }
  }

  recordReport(entry: BackendServerEntry, report: LoadReport, elapsedMilliseconds: number): void {
    const load = this.#serviceLoad(entry.service).loadOf(entry, this.#clock.now());
    // The end of an answer repeats the report of its head, which is outdated by then.
    if (load.report === report) return;
    this.#applyReport(load, report);
    this.#applyResponseTime(load, report, elapsedMilliseconds);
  }

  roundTripTo(entry: BackendServerEntry): number {
    return this.#delays.roundTripTo(entry);
  }

  #serviceLoad(name: string): ServiceLoad {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const service = new ServiceLoad();
    this.#services.set(name, service);
    return service;
  }

  /** Samples entries of a tier at random, without replacement. */
  #sample(tier: readonly BackendServerEntry[], count: number): readonly BackendServerEntry[] {
    if (tier.length <= count) return tier;
    const rest = [...tier];
    const sample: BackendServerEntry[] = [];
    while (sample.length < count) {
      const index = this.#random.integerBelow(rest.length);
      const [entry] = rest.splice(index, 1);
      if (entry !== undefined) sample.push(entry);
    }
    return sample;
  }

  #applyReport(load: BackendServerLoad, report: LoadReport): void {
    const oneWay = this.#delays.roundTripTo(load.entry) / 2;
    load.recordReport(report, this.#clock.now() - oneWay);
    this.#serviceLoad(load.entry.service).recordReport(report);
  }

  /** Uses only requests that did not queue, whose elapsed time is service time plus network delay. */
  #applyResponseTime(
    load: BackendServerLoad,
    report: LoadReport,
    elapsedMilliseconds: number,
  ): void {
    const { serviceMilliseconds } = report;
    const waited = report.inFlight + report.queued > report.limit;
    if (waited || serviceMilliseconds <= 0) return;
    this.#delays.record(load.entry, elapsedMilliseconds - serviceMilliseconds);
    load.recordResponseTime(
      Math.max(0, elapsedMilliseconds - this.#delays.roundTripTo(load.entry)),
    );
  }

  #expectedCompletionTime(service: ServiceLoad, load: BackendServerLoad, now: number): number {
    const serviceTime = this.#serviceTime(service, load, now);
    const limit = limitOf(load, now);
    const occupied = expectedOccupancy(service, load, limit, now) + 1;
    const waiting = (waitingWeight * Math.max(0, occupied - limit)) / limit;
    const utilization = Math.min(1, occupied / limit) * utilizationWeight;
    const time = this.#delays.roundTripTo(load.entry) + serviceTime * (1 + waiting + utilization);
    const failure =
      load.failureRate * Math.exp((load.failureRateAt - now) / failureDecayMilliseconds);
    return time / (1 - Math.min(maxFailureRate, failure));
  }

  #serviceTime(service: ServiceLoad, load: BackendServerLoad, now: number): number {
    const mean = service.meanServiceMilliseconds;
    const reported = load.report?.serviceMilliseconds ?? 0;
    const known = Math.max(
      reported > 0 ? reported : mean,
      load.responseMilliseconds * responseTimeWeight,
    );
    const weight = Math.exp((load.reportSampledAt - now) / responseDecayMilliseconds);
    const decayed = weight * known + (1 - weight) * mean * unknownServiceFactor;
    return Math.max(decayed, this.#stallTime(load, mean, now));
  }

  /** Time without an answer to this router's outstanding tries, or 0 below the stall threshold. */
  #stallTime(load: BackendServerLoad, mean: number, now: number): number {
    if (load.outstanding === 0) return 0;
    const stalled = now - load.lastProgressAt - this.#delays.roundTripTo(load.entry);
    return stalled > stallFactor * mean ? stalled : 0;
  }
}

function limitOf(load: BackendServerLoad, now: number): number {
  return load.report?.limit ?? expectedLimit(load, now);
}

function hasFreeSlot(service: ServiceLoad, load: BackendServerLoad, now: number): boolean {
  const limit = limitOf(load, now);
  return expectedOccupancy(service, load, limit, now) + 1 <= limit;
}

/** Whether load explains a refusal; the expected waiting time then includes it already. */
function isSaturated(report: LoadReport | undefined): boolean {
  return report !== undefined && report.inFlight + report.queued >= report.limit;
}

/**
 * Estimates the requests at a backend server: the reported ones, decayed towards the service's mean
 * with the age of the report, plus those that this router has sent since.
 */
function expectedOccupancy(
  service: ServiceLoad,
  load: BackendServerLoad,
  limit: number,
  now: number,
): number {
  const expected = service.meanUtilization * limit;
  const { report } = load;
  if (report === undefined) return expected + load.sentSinceReport;
  const weight = Math.exp((load.reportSampledAt - now) / reportDecayMilliseconds);
  return (
    weight * (report.inFlight + report.queued) + (1 - weight) * expected + load.sentSinceReport
  );
}
