import {
  type BackendServerEntry,
  Distance,
  type Location,
  distanceBetween,
} from '@hickorybridge/types';

/** Round-trip time assumed before the first measurement, by distance. */
const initialRoundTripMilliseconds = {
  [Distance.sameFailureDomain]: 0.5,
  [Distance.sameRegion]: 2,
  [Distance.otherRegion]: 60,
} as const;
/** Weight of a new sample: network delays change rarely, and samples include service time noise. */
const smoothingFactor = 0.05;

/** Estimates round-trip times to the failure domains, from requests that did not queue. */
export class NetworkDelays {
  readonly #ownLocation: Location;

  readonly #delays = new Map<string, number>();

  constructor(own: Location) {
    this.#ownLocation = own;
  }

  /** Returns the round-trip time to a backend server's failure domain, in milliseconds. */
  roundTripTo(entry: BackendServerEntry): number {
    const known = this.#delays.get(entry.failureDomain);
    return known ?? initialRoundTripMilliseconds[distanceBetween(this.#ownLocation, entry)];
  }

  /** Records the part of a response time that exceeds the service time. */
  record(entry: BackendServerEntry, milliseconds: number): void {
    const before = this.roundTripTo(entry);
    this.#delays.set(
      entry.failureDomain,
      Math.max(0, before + smoothingFactor * (milliseconds - before)),
    );
  }
}
