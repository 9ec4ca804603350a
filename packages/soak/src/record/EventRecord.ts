import { createWriteStream, readFileSync, type WriteStream } from 'node:fs';

import type { SoakEvent, SoakOccurrence } from './SoakEvent.js';

/** The events of a run in order, kept in memory and in a file of JSON lines. */
export class EventRecord implements AsyncDisposable {
  readonly events: SoakEvent[] = [];

  readonly #start = performance.now();

  readonly #file: WriteStream;

  constructor(file: string) {
    this.#file = createWriteStream(file);
  }

  /** Milliseconds since the start of the run. */
  get now(): number {
    return Math.round((performance.now() - this.#start) * 10) / 10;
  }

  /** Adds an event that happens now. */
  add(occurrence: SoakOccurrence): void {
    const event = { at: this.now, ...occurrence };
    this.events.push(event);
    this.#file.write(`${JSON.stringify(event)}\n`);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#file.end(() => resolve());
    });
  }
}

/** Reads the events that a run has kept. */
export function readEvents(file: string): SoakEvent[] {
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as SoakEvent);
}
