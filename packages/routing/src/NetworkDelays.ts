import {
  type BackendServerEntry,
  Distance,
  type Location,
  distanceBetween,
} from '@hickorybridge/types';

/** Expected round trip before the first measurement, in milliseconds, for each distance. */
const initialDelay = {
  [Distance.sameFailureDomain]: 0.5,
  [Distance.sameRegion]: 2,
  [Distance.otherRegion]: 60,
} as const;
/** Share of a new sample: network delays change rarely, and samples carry service time noise. */
const SMOOTHING = 0.05;

/** Round-trip times to the failure domains, learnt from answers that did not have to wait. */
export class NetworkDelays {
  readonly #own: Location;

  readonly #delays = new Map<string, number>();

  constructor(own: Location) {
    this.#own = own;
  }

  /** Gives the round-trip time to a backend server's failure domain, in milliseconds. */
  to(entry: BackendServerEntry): number {
    const known = this.#delays.get(entry.failureDomain);
    return known ?? initialDelay[distanceBetween(this.#own, entry)];
  }

  /** Takes in the part of a response time that the service time does not explain. */
  record(entry: BackendServerEntry, milliseconds: number): void {
    const before = this.to(entry);
    this.#delays.set(
      entry.failureDomain,
      Math.max(0, before + SMOOTHING * (milliseconds - before)),
    );
  }
}
