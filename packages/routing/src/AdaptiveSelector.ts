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

/** Candidates taken from each tier; a tier that cannot fill its number leaves it to the next. */
const sampleSizes = [3, 2, 2] as const;
/** Time constant by which a reported queue loses its meaning, in milliseconds. */
const reportDecay = 100;
/** Time constant by which a smoothed response time loses its meaning, in milliseconds. */
const responseDecay = 400;
/**
 * Factor of the mean that is expected when nothing recent is known. Below 1, so that a backend
 * server without recent reports is tried now and then, also when the others have no queue.
 */
const unknownServiceFactor = 0.9;
/** Time constant by which failures are forgotten, in milliseconds. */
const failureDecay = 1_000;
/** Bounds the failure share, so that the cost stays finite and a recovery can be found. */
const maximumFailureShare = 0.95;
/** Waiting without any progress that is not yet a sign of a stall, in mean service times. */
const stallFactor = 3;
/**
 * Weight of the waiting time. A request that joins a queue also delays those behind it. With weight
 * 1 a queue grows until it costs every request as much as the way to the other region.
 */
const waitingWeight = 4;
/**
 * Weight of the smoothed response time, which counts when it is far longer than the reported
 * service time: a report does not show delays between the node and its backend server or router.
 */
const ownResponseWeight = 0.5;
/** Weight of the use below the limit, which only decides between otherwise equal candidates. */
const useWeight = 0.1;
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
    const service = this.#serviceOf(request.service);
    service.retain(this.#directory.list(request.service));
    const now = this.#clock.now();
    const linkCost = (request.expectedBytes / bytesPerKilobyte) * this.#linkPrice;
    let best: BackendServerEntry | undefined;
    let lowest = Infinity;
    let places = 0;
    for (const distance of [0, 1, 2] as const) {
      places += sampleSizes[distance];
      const price = distance === Distance.otherRegion ? linkCost : 0;
      const sample = this.#sample(tiers[distance], places);
      places -= sample.length;
      for (const entry of sample) {
        const load = service.of(entry, now);
        if (request.hedged === true && !hasFreePlace(service, load, now)) continue;
        const cost = this.#completionTime(service, load, now) + price;
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
    this.#serviceOf(entry.service).of(entry, now).sent(now);
  }

  recordResult(entry: BackendServerEntry, result: TryResult): void {
    const now = this.#clock.now();
    const load = this.#serviceOf(entry.service).of(entry, now);
    load.ended(now);
    switch (result.type) {
      case 'answered':
        load.failed(result.serverError === true ? 1 : 0, now);
        this.recordReport(entry, result.report, result.elapsedMilliseconds);
        break;
      case 'refused':
        if (!isSaturated(result.report)) load.failed(1, now);
        if (result.report !== undefined) this.#takeReport(load, result.report);
        break;
      case 'lost':
        load.failed(1, now);
        break;
      default:
    }
  }

  recordReport(entry: BackendServerEntry, report: LoadReport, elapsedMilliseconds: number): void {
    const load = this.#serviceOf(entry.service).of(entry, this.#clock.now());
    // The end of an answer brings the report of its head again, which is old by then.
    if (load.report === report) return;
    this.#takeReport(load, report);
    this.#takeResponse(load, report, elapsedMilliseconds);
  }

  roundTripTo(entry: BackendServerEntry): number {
    return this.#delays.to(entry);
  }

  #serviceOf(name: string): ServiceLoad {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const service = new ServiceLoad();
    this.#services.set(name, service);
    return service;
  }

  /** Takes some entries of a tier at random, without repetition. */
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

  #takeReport(load: BackendServerLoad, report: LoadReport): void {
    const oneWay = this.#delays.to(load.entry) / 2;
    load.reported(report, this.#clock.now() - oneWay);
    this.#serviceOf(load.entry.service).reported(report);
  }

  /** Only answers that did not wait tell the delays apart from the queue, which is in the report. */
  #takeResponse(load: BackendServerLoad, report: LoadReport, elapsedMilliseconds: number): void {
    const { serviceMilliseconds } = report;
    const waited = report.inFlight + report.queued > report.limit;
    if (waited || serviceMilliseconds <= 0) return;
    this.#delays.record(load.entry, elapsedMilliseconds - serviceMilliseconds);
    load.responded(Math.max(0, elapsedMilliseconds - this.#delays.to(load.entry)));
  }

  #completionTime(service: ServiceLoad, load: BackendServerLoad, now: number): number {
    const serviceTime = this.#serviceTime(service, load, now);
    const limit = limitOf(load, now);
    const occupied = expectedOccupied(service, load, limit, now) + 1;
    const waiting = (waitingWeight * Math.max(0, occupied - limit)) / limit;
    const use = Math.min(1, occupied / limit) * useWeight;
    const time = this.#delays.to(load.entry) + serviceTime * (1 + waiting + use);
    const failure = load.failureShare * Math.exp((load.failureAt - now) / failureDecay);
    return time / (1 - Math.min(maximumFailureShare, failure));
  }

  #serviceTime(service: ServiceLoad, load: BackendServerLoad, now: number): number {
    const mean = service.meanServiceMilliseconds;
    const reported = load.report?.serviceMilliseconds ?? 0;
    const known = Math.max(
      reported > 0 ? reported : mean,
      load.responseMilliseconds * ownResponseWeight,
    );
    const weight = Math.exp((load.reportAt - now) / responseDecay);
    const aged = weight * known + (1 - weight) * mean * unknownServiceFactor;
    return Math.max(aged, this.#stall(load, mean, now));
  }

  /** Time for which own outstanding tries have seen no answer, once it is longer than usual. */
  #stall(load: BackendServerLoad, mean: number, now: number): number {
    if (load.outstanding === 0) return 0;
    const silent = now - load.progressAt - this.#delays.to(load.entry);
    return silent > stallFactor * mean ? silent : 0;
  }
}

function limitOf(load: BackendServerLoad, now: number): number {
  return load.report?.limit ?? expectedLimit(load, now);
}

function hasFreePlace(service: ServiceLoad, load: BackendServerLoad, now: number): boolean {
  const limit = limitOf(load, now);
  return expectedOccupied(service, load, limit, now) + 1 <= limit;
}

/** Whether the load explains a refusal; it is then part of the expected waiting time already. */
function isSaturated(report: LoadReport | undefined): boolean {
  return report !== undefined && report.inFlight + report.queued >= report.limit;
}

/** Requests at the backend server: the report, aged towards the mean, and own ones since. */
function expectedOccupied(
  service: ServiceLoad,
  load: BackendServerLoad,
  limit: number,
  now: number,
): number {
  const expected = service.meanUse * limit;
  const { report } = load;
  if (report === undefined) return expected + load.ownSince;
  const weight = Math.exp((load.reportAt - now) / reportDecay);
  return weight * (report.inFlight + report.queued) + (1 - weight) * expected + load.ownSince;
}
