import type { FlightRecord } from './FlightRecord.js';

/** A ring of records; adding one to a full ring gives back the oldest. */
export class FlightRing {
  readonly #records: (FlightRecord | undefined)[];

  #next = 0;

  constructor(capacity: number) {
    this.#records = Array.from({ length: capacity });
  }

  add(record: FlightRecord): FlightRecord | undefined {
    const oldest = this.#records[this.#next];
    oldest?.leaveRing();
    record.enterRing();
    this.#records[this.#next] = record;
    this.#next = (this.#next + 1) % this.#records.length;
    return oldest;
  }
}
