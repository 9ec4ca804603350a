import type { Deployment, RequestKind, Service } from '@hickorybridge/configuration';
import { RandomSource } from '@hickorybridge/utils';
import type { TraceRequest } from '../trace/traceEntry.js';

/** Traffic between two times of a trace, in milliseconds. */
export interface TrafficOptions {
  readonly from: number;
  readonly until: number;
  readonly requestsPerSecond: number;
  /** Services that are called; all by default. */
  readonly services?: readonly string[];
  /** Share of requests from the first region, 0.6 by default. */
  readonly firstRegionShare?: number;
  /** Share of requests of non-idempotent kinds, 0.15 by default. */
  readonly nonIdempotentShare?: number;
}

const millisecondsPerSecond = 1_000;
const defaultFirstRegionShare = 0.6;
const defaultNonIdempotentShare = 0.15;

/** Non-idempotent requests that carry an idempotency key, and keyed ones that are sent again. */
const keyedShare = 0.8;
const repeatedShare = 0.25;

/** A repetition follows at most this long after the first request, in milliseconds. */
const repetitionMilliseconds = 400;

/** Sizes of answers in bytes: mostly small records, some lists. */
const smallBytes = 1_200;
const largeBytes = 24_000;
const largeShare = 0.05;

/** Draws the requests of a trace from a seed. */
export class TrafficSource {
  readonly #deployment: Deployment;

  readonly #random: RandomSource;

  #keys = 0;

  constructor(deployment: Deployment, seed: number) {
    this.#deployment = deployment;
    this.#random = new RandomSource(seed);
  }

  /** Draws requests with exponentially distributed gaps. */
  draw(options: TrafficOptions): TraceRequest[] {
    const requests: TraceRequest[] = [];
    let time = options.from;
    for (;;) {
      const gap = -Math.log(1 - this.#random.next()) / options.requestsPerSecond;
      time += gap * millisecondsPerSecond;
      if (time >= options.until) return requests;
      requests.push(...this.#drawOne(time, options));
    }
  }

  #drawOne(time: number, options: TrafficOptions): TraceRequest[] {
    const nonIdempotent =
      this.#random.next() < (options.nonIdempotentShare ?? defaultNonIdempotentShare);
    const { service, kind } = this.#pickKind(options, !nonIdempotent);
    const entry = {
      time: roundTime(time),
      region: this.#pickRegion(options),
      service: service.name,
      kind: kind.name,
      size: this.#pickSize(),
    };
    if (kind.idempotent || this.#random.next() >= keyedShare) return [entry];
    this.#keys += 1;
    const keyed = { ...entry, key: `key-${this.#keys}` };
    if (this.#random.next() >= repeatedShare) return [keyed];
    const later = roundTime(time + this.#random.next() * repetitionMilliseconds);
    return [keyed, { ...keyed, time: later, region: this.#otherRegion(keyed.region) }];
  }

  #pickKind(options: TrafficOptions, idempotent: boolean) {
    const services = this.#deployment.services.filter(
      (service) => options.services === undefined || options.services.includes(service.name),
    );
    const all = services.flatMap((service) => service.kinds.map((kind) => ({ service, kind })));
    const wanted = all.filter(({ kind }) => kind.idempotent === idempotent);
    return this.#pick<{ service: Service; kind: RequestKind }>(wanted.length > 0 ? wanted : all);
  }

  #pickRegion(options: TrafficOptions): string {
    const [first, second] = this.#deployment.regions;
    const inFirst = this.#random.next() < (options.firstRegionShare ?? defaultFirstRegionShare);
    return (inFirst ? first : second)?.name ?? '';
  }

  #otherRegion(region: string): string {
    return this.#deployment.regions.find((other) => other.name !== region)?.name ?? region;
  }

  #pickSize(): number {
    const limit = this.#random.next() < largeShare ? largeBytes : smallBytes;
    return 1 + this.#random.integerBelow(limit);
  }

  #pick<Member>(members: readonly Member[]): Member {
    const member = members[this.#random.integerBelow(members.length)];
    if (member === undefined) throw new Error(`${this.#deployment.name} has no kind to call`);
    return member;
  }
}

function roundTime(time: number): number {
  return Math.round(time * 10) / 10;
}
