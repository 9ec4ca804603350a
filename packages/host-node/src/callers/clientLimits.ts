import type { HostSettings } from '@hickorybridge/types';
import type { ConnectionAccountOptions } from '@hickorybridge/utils';

const defaultMemoryBytes = 256 * 1024 * 1024;
const defaultDescriptors = 4096;
/** The rest is for the program itself (about 60 MB), requests in progress and the heap's slack. */
const memoryShare = 0.2;
// A quarter remains for backend servers, the store, dialled peers and the log. Peers: with 4,100
// descriptors 1,230, while each of 640 hosts has one connection with a node.
const callersShare = 0.4;
const peersShare = 0.3;
const reportsShare = 0.05;
/** A backend server has 9 slots or more: bodies that stall here occupy at most two of them. */
const maxStalledBodies = 2;
// A read-ahead of all callers takes about this many milliseconds of a node's processor time.
const maxWaitingRequests = 64;

/** Derives the limits of clients from the memory and the descriptors that the process may use. */
export function clientLimits(
  settings: Pick<HostSettings, 'maxDescriptors' | 'memoryBytes'>,
): Pick<
  ConnectionAccountOptions,
  'maxBytes' | 'maxConnections' | 'maxStalledBodies' | 'maxWaitingRequests'
> {
  const descriptors = settings.maxDescriptors ?? defaultDescriptors;
  const connections = (share: number) => Math.max(1, Math.floor(descriptors * share));
  return {
    maxBytes: (settings.memoryBytes ?? defaultMemoryBytes) * memoryShare,
    maxConnections: {
      callers: connections(callersShare),
      peers: connections(peersShare),
      reports: connections(reportsShare),
    },
    maxStalledBodies,
    maxWaitingRequests,
  };
}
