import { Distance } from '@hickorybridge/types';

import { HostLoad } from '../HostLoad.js';
import type { HostCandidate } from '../HostSelector.js';

const domainCount = 4;

/** A backend server with slots and a queue, and its node. */
export class ModelHost {
  inFlight = 0;

  readonly queue: (() => void)[] = [];

  readonly candidate: HostCandidate;

  constructor(index: number, slots: number) {
    this.candidate = createCandidate(index, slots);
  }

  enter(): void {
    this.inFlight += 1;
  }

  leave(): void {
    this.inFlight -= 1;
    this.queue.shift()?.();
  }
}

function createCandidate(index: number, slots: number): HostCandidate {
  return {
    entry: {
      nodeId: `n${index}`,
      peerAddress: { host: '10.0.0.1', port: 1 },
      location: { region: 'r', failureDomain: `d${index % domainCount}` },
      service: 'desk',
      backendServerId: `b${index}`,
      slots,
      leaving: false,
    },
    distance: Distance.sameRegion,
    load: new HostLoad(),
    roundTripMilliseconds: 3,
  };
}
