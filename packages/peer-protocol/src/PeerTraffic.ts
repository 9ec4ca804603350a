import { Distance } from '@hickorybridge/types';

import { FrameType, type Frame } from './frame.js';

/** What the bytes of a frame were spent on. */
export const TrafficClass = { request: 'request', control: 'control' } as const;

export type TrafficClass = (typeof TrafficClass)[keyof typeof TrafficClass];

/** Bytes and frames sent to peers at one distance. */
export interface TrafficCount {
  bytes: number;
  frames: number;
}

function emptyCounts(): Record<TrafficClass, TrafficCount> {
  return { request: { bytes: 0, frames: 0 }, control: { bytes: 0, frames: 0 } };
}

/** Counts what a node sends to its peers, by distance and purpose. */
export class PeerTraffic {
  readonly #counts: Record<Distance, Record<TrafficClass, TrafficCount>> = {
    [Distance.sameFailureDomain]: emptyCounts(),
    [Distance.sameRegion]: emptyCounts(),
    [Distance.otherRegion]: emptyCounts(),
  };

  add(distance: Distance, trafficClass: TrafficClass, bytes: number): void {
    const count = this.#counts[distance][trafficClass];
    count.bytes += bytes;
    count.frames += 1;
  }

  countOf(distance: Distance, trafficClass: TrafficClass): Readonly<TrafficCount> {
    return this.#counts[distance][trafficClass];
  }

  /** Bytes sent for control to all peers. */
  controlBytes(): number {
    return Object.values(this.#counts).reduce((sum, counts) => sum + counts.control.bytes, 0);
  }
}

/** Gives the class of a frame that is not a control call or its reply. */
export function trafficClassOf(frame: Frame): TrafficClass {
  switch (frame.type) {
    case FrameType.open:
    case FrameType.body:
    case FrameType.credit:
    case FrameType.answer:
    case FrameType.refuse:
    case FrameType.abort:
    case FrameType.cancel:
      return TrafficClass.request;
    default:
      return TrafficClass.control;
  }
}
