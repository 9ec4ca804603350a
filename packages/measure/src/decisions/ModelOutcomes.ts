import { callerDelay, type ModelKind } from './modelDeployments.js';
import { type Arrival, warmUpMilliseconds } from './scenarios.js';

/** Figures of one policy in one scenario. Times in milliseconds. */
export interface ModelFigures {
  readonly p99: number;
  readonly p999: number;
  readonly withinDeadline: number;
  /** Runs whose answer did not reach the caller in time, as a share of the requests. */
  readonly wastedRuns: number;
  /** Tries, as a multiple of the requests. */
  readonly tries: number;
  readonly linkKilobytesPerRequest: number;
}

/** Collects what happened to the requests after the warm-up. */
export class ModelOutcomes {
  readonly #latencies = new Map<ModelKind, number[]>();

  #requests = 0;

  #answered = 0;

  #tries = 0;

  #wastedRuns = 0;

  tried(arrival: Arrival): void {
    if (arrival.at >= warmUpMilliseconds) this.#tries += 1;
  }

  wasted(arrival: Arrival): void {
    if (arrival.at >= warmUpMilliseconds) this.#wastedRuns += 1;
  }

  /** Takes in an answer that reached the caller before its deadline. */
  answered(arrival: Arrival, now: number): void {
    if (arrival.at < warmUpMilliseconds) return;
    this.#answered += 1;
    this.#record(arrival, now - arrival.at + 2 * callerDelay);
  }

  /** Takes in a request without an answer; it counts as answered at its deadline. */
  failed(arrival: Arrival): void {
    if (arrival.at < warmUpMilliseconds) return;
    this.#record(arrival, arrival.kind.deadlineMilliseconds + 2 * callerDelay);
  }

  /** Gives the figures. Quantiles are means over the kinds, by weight. */
  figures(linkBytes: number): ModelFigures {
    return {
      p99: this.#weightedQuantile(0.99),
      p999: this.#weightedQuantile(0.999),
      withinDeadline: this.#answered / this.#requests,
      wastedRuns: this.#wastedRuns / this.#requests,
      tries: this.#tries / this.#requests,
      linkKilobytesPerRequest: linkBytes / 1_000 / this.#requests,
    };
  }

  #record(arrival: Arrival, latency: number): void {
    this.#requests += 1;
    const latencies = this.#latencies.get(arrival.kind) ?? [];
    latencies.push(latency);
    this.#latencies.set(arrival.kind, latencies);
  }

  #weightedQuantile(quantile: number): number {
    let sum = 0;
    let weights = 0;
    for (const [kind, latencies] of this.#latencies) {
      latencies.sort((first, second) => first - second);
      sum += kind.weight * (latencies[Math.floor(latencies.length * quantile)] ?? 0);
      weights += kind.weight;
    }
    return sum / weights;
  }
}
