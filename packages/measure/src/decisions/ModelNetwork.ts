import { Distance, type Location, distanceBetween } from '@hickorybridge/types';
import {
  hostDelay,
  linkBytesPerMillisecond,
  type ModelDeployment,
  regionDelay,
} from './modelDeployments.js';
import { warmUpMilliseconds } from './scenarios.js';
import type { VirtualTime } from './VirtualTime.js';

/** Delays between hosts; the link between regions also has a limited rate in each direction. */
export class ModelNetwork {
  /** Bytes sent over the link, in both directions, after the warm-up. */
  linkBytes = 0;

  readonly #time: VirtualTime;

  readonly #deployment: ModelDeployment;

  /** When the link is free again, for each sending region. */
  readonly #linkFreeAt = new Map<string, number>();

  constructor(time: VirtualTime, deployment: ModelDeployment) {
    this.#time = time;
    this.#deployment = deployment;
  }

  /** Runs an action when a message of some bytes has arrived. */
  deliver(from: Location, to: Location, bytes: number, arrived: () => void): void {
    this.#time.after(this.#delay(from, to, bytes), arrived);
  }

  #delay(from: Location, to: Location, bytes: number): number {
    const distance = distanceBetween(from, to);
    if (distance === Distance.sameFailureDomain) return hostDelay;
    if (distance === Distance.sameRegion) return this.#deployment.domainDelay;
    const now = this.#time.now();
    const start = Math.max(now, this.#linkFreeAt.get(from.region) ?? 0);
    const sent = start + bytes / linkBytesPerMillisecond;
    this.#linkFreeAt.set(from.region, sent);
    if (now >= warmUpMilliseconds) this.linkBytes += bytes;
    return sent - now + regionDelay;
  }
}
