import { Outcome } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import type { FlightExplanation } from './FlightStep.js';
import { FlightRecord } from './FlightRecord.js';
import { FlightRing } from './FlightRing.js';
import type { FlightStart } from './FlightRecord.js';

/** Settings of a flight recorder. */
export interface FlightRecorderOptions {
  readonly nodeId: string;
  readonly clock: Clock;
  /** Requests to remember; by default 4,096. */
  readonly capacity?: number;
  /** Requests without an answer to remember beyond that; by default 1,024. */
  readonly failureCapacity?: number;
}

const defaultCapacity = 4_096;
const defaultFailureCapacity = 1_024;

/**
 * Remembers the last requests of a node and their steps. Requests that got no answer have a ring
 * of their own, so that an operator can still ask for them when many others followed.
 */
export class FlightRecorder {
  readonly #options: FlightRecorderOptions;

  readonly #recent: FlightRing;

  readonly #failures: FlightRing;

  readonly #records = new Map<string, FlightRecord>();

  constructor(options: FlightRecorderOptions) {
    this.#options = options;
    this.#recent = new FlightRing(options.capacity ?? defaultCapacity);
    this.#failures = new FlightRing(options.failureCapacity ?? defaultFailureCapacity);
  }

  /** Starts the record of a request that has arrived. */
  begin(start: FlightStart): FlightRecord {
    const record = new FlightRecord(start, this.#options.clock, (ended) => this.#keep(ended));
    this.#place(record, this.#recent);
    return record;
  }

  /** Gives what is remembered of a request on both sides of this node; empty when nothing is. */
  find(requestId: string): FlightExplanation[] {
    return (['router', 'admission'] as const).flatMap((side) => {
      const record = this.#records.get(keyOf({ requestId, side }));
      return record === undefined ? [] : [record.explain(this.#options.nodeId)];
    });
  }

  #keep(record: FlightRecord): void {
    if (record.outcome !== Outcome.answered) this.#place(record, this.#failures);
  }

  #place(record: FlightRecord, ring: FlightRing): void {
    this.#records.set(keyOf(record.start), record);
    const oldest = ring.add(record);
    if (oldest !== undefined && oldest.places === 0) this.#forget(oldest);
  }

  #forget(record: FlightRecord): void {
    const key = keyOf(record.start);
    if (this.#records.get(key) === record) this.#records.delete(key);
  }
}

function keyOf(start: Pick<FlightStart, 'requestId' | 'side'>): string {
  return `${start.side} ${start.requestId}`;
}
