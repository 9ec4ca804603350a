import { SimulatedClock } from '@hickorybridge/coordination';
import { HostSpeedModel, RandomSource } from '@hickorybridge/utils';

import { areManyHostsBusy, canTakeHedge, selectHedgePlaces } from '../hedgeHosts.js';
import { RequestHedging } from '../RequestHedging.js';
import { ModelHost } from './ModelHost.js';

const service = 'desk';
const route = 'reads';
const slots = 9;
const hostCount = 8;
const meanWorkMilliseconds = 20;

interface Attempt {
  cancelled: boolean;
}

/** A service of eight hosts to which one node sends requests at random, in virtual time. */
export class HedgedServiceModel {
  readonly clock = new SimulatedClock();

  readonly durations: number[] = [];

  requests = 0;

  hedges = 0;

  won = 0;

  /** Hedges that arrived at a host in the failure domain of the first attempt. */
  sameDomain = 0;

  readonly hedging: RequestHedging;

  /** Work of a host as a multiple of the usual work. */
  slownessOf: (host: number) => number;

  readonly #hosts: ModelHost[];

  readonly #random = new RandomSource(2026);

  constructor(share: number | undefined) {
    this.slownessOf = () => 1;
    this.hedging = new RequestHedging({ shareOf: () => share, clock: this.clock });
    this.#hosts = Array.from({ length: hostCount }, (_, index) => new ModelHost(index, slots));
  }

  /** Sends requests at a rate that uses a share of all slots of usual speed. */
  async run(milliseconds: number, utilization: number): Promise<void> {
    const interval = meanWorkMilliseconds / (slots * hostCount * utilization);
    const end = this.clock.now() + milliseconds;
    const arrive = () => {
      if (this.clock.now() >= end) return;
      this.#request();
      this.clock.schedule(interval * (0.5 + this.#random.next()), arrive);
    };
    arrive();
    await this.clock.advance(milliseconds);
  }

  quantile(share: number): number {
    const sorted = [...this.durations].sort((first, second) => first - second);
    return sorted[Math.floor(sorted.length * share)] ?? 0;
  }

  #request(): void {
    this.requests += 1;
    this.hedging.recordRequest(service, meanWorkMilliseconds);
    const startedAt = this.clock.now();
    const first = this.#randomHost();
    const attempts: Attempt[] = [];
    let answered = false;
    const answer = (isHedge: boolean) => {
      if (answered) return;
      answered = true;
      const milliseconds = this.clock.now() - startedAt;
      this.durations.push(milliseconds);
      if (isHedge) this.won += 1;
      this.hedging.recordAttempt(service, route, { milliseconds, answered: !isHedge });
      for (const attempt of attempts) attempt.cancelled = true;
    };
    attempts.push(this.#send(first, () => answer(false)));
    const delay = this.hedging.delayFor(service, route);
    if (delay === undefined) return;
    this.clock.schedule(delay, () => {
      if (answered) return;
      const second = this.#chooseSecond(first);
      if (second === undefined) return;
      this.hedging.recordHedge(service, meanWorkMilliseconds);
      this.hedges += 1;
      const domainOf = ({ candidate }: ModelHost) => candidate.entry.location.failureDomain;
      if (domainOf(first) === domainOf(second)) this.sameDomain += 1;
      attempts.push(this.#send(second, () => answer(true)));
    });
  }

  #chooseSecond(first: ModelHost): ModelHost | undefined {
    if (!this.hedging.allows(service, meanWorkMilliseconds)) return undefined;
    const now = this.clock.now();
    for (const host of this.#hosts) {
      const { inFlight, queue } = host;
      const slowness = this.slownessOf(this.#hosts.indexOf(host));
      const report = { limit: slots, inFlight, queued: queue.length, rampShare: 1, slowness };
      const serviceMilliseconds = meanWorkMilliseconds;
      host.candidate.load.recordReport({ ...report, serviceMilliseconds }, now);
    }
    const candidates = this.#hosts
      .filter((host) => host !== first)
      .map(({ candidate }) => candidate);
    if (areManyHostsBusy(candidates, now)) return undefined;
    const speed = new HostSpeedModel();
    const eligible = selectHedgePlaces(candidates, first.candidate).filter((candidate) =>
      canTakeHedge(candidate, { now, speed, depth: 0 }),
    );
    const chosen = eligible[Math.floor(this.#random.next() * eligible.length)];
    return this.#hosts.find(({ candidate }) => candidate === chosen);
  }

  #send(host: ModelHost, onAnswer: () => void): Attempt {
    const attempt = { cancelled: false };
    const start = () => {
      if (attempt.cancelled) {
        host.queue.shift()?.();
        return;
      }
      host.enter();
      const slowness = this.slownessOf(this.#hosts.indexOf(host));
      const work = meanWorkMilliseconds * (0.5 + this.#random.next()) * slowness;
      this.clock.schedule(work, () => {
        host.leave();
        if (!attempt.cancelled) onAnswer();
      });
    };
    if (host.inFlight < slots) start();
    else host.queue.push(start);
    return attempt;
  }

  #randomHost(): ModelHost {
    return this.#hosts[Math.floor(this.#random.next() * hostCount)] as ModelHost;
  }
}
