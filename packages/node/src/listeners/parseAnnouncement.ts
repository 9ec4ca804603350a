import {
  fail,
  succeed,
  type Announcement,
  type ProblemDetails,
  type Result,
} from '@hickorybridge/types';
import { isIP } from 'node:net';

const maxNameLength = 100;
const maxSlots = 10_000;
const maxConnections = 100_000;
const maxRampMilliseconds = 3_600_000;
const maxPort = 65_535;

/** Checks the body of an announcement. */
export function parseAnnouncement(
  backendServerId: string,
  body: unknown,
): Result<Announcement, ProblemDetails> {
  if (typeof body !== 'object' || body === null) return refuse('the body must be a JSON object');
  const { service, host, port, slots, connections, rampMilliseconds } = body as Record<
    string,
    unknown
  >;
  if (backendServerId.length > maxNameLength) return refuse('the identity is too long');
  if (typeof service !== 'string' || service === '' || service.length > maxNameLength) {
    return refuse(`"service" must be a name of 1 to ${maxNameLength} characters`);
  }
  if (typeof host !== 'string' || isIP(host) === 0) return refuse('"host" must be an IP address');
  if (!isWhole(port, 1, maxPort)) return refuse(`"port" must be from 1 to ${maxPort}`);
  if (!isWhole(slots, 1, maxSlots)) return refuse(`"slots" must be from 1 to ${maxSlots}`);
  if (!isWhole(connections, 1, maxConnections)) {
    return refuse(`"connections" must be from 1 to ${maxConnections}`);
  }
  const ramp = rampMilliseconds ?? 0;
  if (!isWhole(ramp, 0, maxRampMilliseconds)) {
    return refuse(`"rampMilliseconds" must be from 0 to ${maxRampMilliseconds}`);
  }
  return succeed({
    backendServerId,
    service,
    address: { host, port },
    slots,
    connections,
    rampMilliseconds: ramp,
  });
}

function isWhole(value: unknown, lowest: number, highest: number): value is number {
  return Number.isInteger(value) && (value as number) >= lowest && (value as number) <= highest;
}

function refuse(detail: string): Result<never, ProblemDetails> {
  const title = 'The announcement is not valid';
  return fail({ type: 'urn:hickorybridge:problem:bad-request', title, status: 400, detail });
}
