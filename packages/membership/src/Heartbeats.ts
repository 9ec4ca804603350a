import type { ControlChannel } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import type { RoleAssignment } from './RoleAssignment.js';

/** Time between two heartbeats. */
export const heartbeatIntervalMilliseconds = 2000;

/** Name of the heartbeat call; short, because a reporter receives one from each node. */
export const heartbeatCallName = 'beat';

const callTimeoutMilliseconds = 1000;

/** What a node tells its reporters. */
export interface HeartbeatMessage {
  /** Number of the deployment in effect; 0 when there is none. */
  readonly number: number;
  /** Sequence of the node's record. */
  readonly sequence: number;
}

/** What a reporter answers. */
export interface HeartbeatReply {
  /** Number of the deployment in effect at the reporter. */
  readonly number: number;
  /** Whether the reporter has the record with that sequence. */
  readonly known: boolean;
}

/** Settings of the heartbeats. */
export interface HeartbeatsOptions {
  readonly channel: ControlChannel;
  readonly clock: Clock;
  readonly roles: RoleAssignment;
  readonly describe: () => HeartbeatMessage;
  /** Called when the reporter has other state than this node. */
  readonly onDifference: (nodeId: string) => Promise<unknown>;
}

/** Sends heartbeats to the reporters of the failure domain. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
  }

  /** Sends heartbeats until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, roles } = this.#options;
    while (!signal.aborted) {
      for (const target of roles.heartbeatTargets()) this.#beat(target);
      await clock.sleep(heartbeatIntervalMilliseconds, signal);
    }
  }

  async #beat(target: string): Promise<void> {
    const { channel, describe, onDifference } = this.#options;
    const message = describe();
    const result = await channel.call(
      target,
      heartbeatCallName,
      encodeHeartbeat(message),
      callTimeoutMilliseconds,
    );
    if (!result.ok) return;
    const reply = parseHeartbeatReply(result.value);
    if (!reply.known || reply.number > message.number) await onDifference(target);
  }
}

// Heartbeats are the only traffic that grows with a failure domain, so they travel as two numbers.

/** Packs a heartbeat. */
export function encodeHeartbeat(message: HeartbeatMessage): readonly number[] {
  return [message.number, message.sequence];
}

/** Reads a heartbeat; missing parts are 0. */
export function parseHeartbeat(body: unknown): HeartbeatMessage {
  const [number, sequence] = numbersOf(body);
  return { number: number ?? 0, sequence: sequence ?? 0 };
}

/** Packs the reply to a heartbeat. */
export function encodeHeartbeatReply(reply: HeartbeatReply): readonly number[] {
  return [reply.number, reply.known ? 1 : 0];
}

function parseHeartbeatReply(body: unknown): HeartbeatReply {
  const [number, known] = numbersOf(body);
  return { number: number ?? 0, known: known === 1 };
}

function numbersOf(body: unknown): (number | undefined)[] {
  if (!Array.isArray(body)) return [];
  return body.map((item) => (Number.isSafeInteger(item) ? (item as number) : undefined));
}
