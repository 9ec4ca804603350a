import { build } from 'hdr-histogram-js';
import { Told } from '../drive/reply.js';
import type { CallerRecord } from '../drive/reply.js';

/** Histograms count in steps of 0.01 ms. */
const stepsPerMillisecond = 100;
const roundingSteps = 100;

/** Response times of answered requests, in milliseconds. */
export interface Latency {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Summarises durations in milliseconds. */
export function summarise(durations: readonly number[]): Latency {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const duration of durations) {
    histogram.recordValue(Math.max(1, Math.round(duration * stepsPerMillisecond)));
  }
  const milliseconds = (steps: number) =>
    Math.round((steps / stepsPerMillisecond) * roundingSteps) / roundingSteps;
  return {
    count: durations.length,
    p50: milliseconds(histogram.getValueAtPercentile(50)),
    p99: milliseconds(histogram.getValueAtPercentile(99)),
    max: milliseconds(histogram.maxValue),
  };
}

/** Summarises the answered requests of each kind. */
export function latenciesByKind(records: readonly CallerRecord[]): Map<string, Latency> {
  const kinds = new Map<string, number[]>();
  for (const record of records) {
    if (record.told === Told.answered) {
      const durations = kinds.get(record.kind) ?? [];
      durations.push(record.milliseconds);
      kinds.set(record.kind, durations);
    }
  }
  return new Map([...kinds].map(([kind, durations]) => [kind, summarise(durations)]));
}
