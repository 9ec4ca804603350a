import type { Outcome, ProblemName } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import type { FlightEnd, FlightEvent, FlightExplanation } from './FlightStep.js';

/** Bounds the memory of a request that is tried very often. */
const maxSteps = 32;

/** An event as it is kept: joined with its time only when it is shown, which is much rarer. */
interface TimedEvent {
  readonly event: FlightEvent;
  readonly atMilliseconds: number;
}

/** What a record starts with. */
export interface FlightStart {
  readonly requestId: string;
  readonly side: 'router' | 'admission';
  readonly service: string;
  readonly kind: string;
}

/** The steps of one request at one node. */
export class FlightRecord {
  readonly start: FlightStart;

  readonly #clock: Clock;

  readonly #startedAt: number;

  readonly #startedAtWallTime: number;

  readonly #steps: TimedEvent[] = [];

  readonly #ended: (record: FlightRecord) => void;

  #droppedSteps = 0;

  #places = 0;

  #end: FlightEnd | undefined;

  constructor(start: FlightStart, clock: Clock, ended: (record: FlightRecord) => void) {
    this.start = start;
    this.#clock = clock;
    this.#ended = ended;
    this.#startedAt = clock.now();
    this.#startedAtWallTime = clock.wallTime();
  }

  /** Number of rings that hold the record. */
  get places(): number {
    return this.#places;
  }

  enterRing(): void {
    this.#places += 1;
  }

  leaveRing(): void {
    this.#places -= 1;
  }

  /** How the request ended; `undefined` while it is open. */
  get outcome(): Outcome | undefined {
    return this.#end?.outcome;
  }

  /** Adds a step. */
  add(event: FlightEvent): void {
    if (this.#steps.length >= maxSteps) {
      this.#droppedSteps += 1;
      return;
    }
    this.#steps.push({ event, atMilliseconds: this.#elapsed() });
  }

  /** Ends the record; later calls do nothing. */
  end(outcome: Outcome, problem?: ProblemName, detail?: string): void {
    if (this.#end !== undefined) return;
    this.#end = { outcome, problem, detail, milliseconds: this.#elapsed() };
    this.#ended(this);
  }

  explain(nodeId: string): FlightExplanation {
    return {
      ...this.start,
      nodeId,
      startedAt: this.#startedAtWallTime,
      steps: this.#steps.map(({ event, atMilliseconds }) => ({ ...event, atMilliseconds })),
      droppedSteps: this.#droppedSteps,
      end: this.#end,
    };
  }

  #elapsed(): number {
    return this.#clock.now() - this.#startedAt;
  }
}
