import { fail, succeed, type Location, type NodeIdentity, type Result } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import { ClockOffset } from './ClockOffset.js';
import { FrameType, maxFrameBytes, type Frame, type HelloFrame } from './frame.js';
import type { FrameSocket, FrameSocketError } from './FrameSocket.js';
import {
  HandshakeSide,
  createHello,
  createProof,
  findVersionConflict,
  proofsMatch,
  type HandshakeNonces,
  type LocalEndpoint,
} from './handshake.js';

const handshakeTimeoutMilliseconds = 5000;

/** What a completed handshake tells of the peer. */
export interface PeerIntroduction {
  readonly identity: NodeIdentity;
  readonly location: Location;
  readonly version: number;
  readonly deploymentNumber: number;
  readonly clockOffset: ClockOffset;
}

/** Why a handshake was not completed. */
export type HandshakeError =
  | FrameSocketError
  | { readonly type: 'rejected-by-peer'; readonly detail: string }
  | { readonly type: 'rejected'; readonly detail: string };

/** Introduces this process to a listener that it has dialled. */
export async function dialHandshake(
  socket: FrameSocket,
  endpoint: LocalEndpoint,
  clock: Clock,
): Promise<Result<PeerIntroduction, HandshakeError>> {
  return withTimeout(socket, () => introduceToListener(socket, endpoint, clock));
}

/** Answers the handshake of a process that has connected to the own listener. */
export async function acceptHandshake(
  socket: FrameSocket,
  endpoint: LocalEndpoint,
  clock: Clock,
): Promise<Result<PeerIntroduction, HandshakeError>> {
  return withTimeout(socket, () => answerIntroduction(socket, endpoint, clock));
}

async function introduceToListener(
  socket: FrameSocket,
  endpoint: LocalEndpoint,
  clock: Clock,
): Promise<Result<PeerIntroduction, HandshakeError>> {
  const sentAt = clock.now();
  const own = createHello(endpoint, sentAt);
  socket.write(own);
  const received = await expectFrame(socket, FrameType.hello);
  if (!received.ok) return received;
  const hello = received.value as HelloFrame;
  const nonces = { dialling: own.nonce, accepting: hello.nonce };
  const conflict =
    findVersionConflict(hello) ??
    findWrongProof(endpoint, HandshakeSide.accepting, nonces, hello, hello.proof);
  if (conflict !== undefined) return reject(socket, conflict);
  const proof = createProof(endpoint.sharedKey, HandshakeSide.dialling, nonces, endpoint.identity);
  socket.write({ type: FrameType.proof, proof, clock: clock.now() });
  return succeed(introduce(socket, hello, new ClockOffset(sentAt, hello.clock)));
}

async function answerIntroduction(
  socket: FrameSocket,
  endpoint: LocalEndpoint,
  clock: Clock,
): Promise<Result<PeerIntroduction, HandshakeError>> {
  const received = await expectFrame(socket, FrameType.hello);
  if (!received.ok) return received;
  const hello = received.value as HelloFrame;
  const conflict = findVersionConflict(hello);
  if (conflict !== undefined) return reject(socket, conflict);
  const sentAt = clock.now();
  const own = createHello(endpoint, sentAt);
  const nonces = { dialling: hello.nonce, accepting: own.nonce };
  const proof = createProof(endpoint.sharedKey, HandshakeSide.accepting, nonces, endpoint.identity);
  socket.write({ ...own, proof });
  const second = await expectFrame(socket, FrameType.proof);
  if (!second.ok) return second;
  if (second.value.type !== FrameType.proof) return reject(socket, 'expected a proof frame');
  const wrong = findWrongProof(endpoint, HandshakeSide.dialling, nonces, hello, second.value.proof);
  if (wrong !== undefined) return reject(socket, wrong);
  return succeed(introduce(socket, hello, new ClockOffset(sentAt, second.value.clock)));
}

/** Closes the socket when the handshake takes too long. */
async function withTimeout<Value>(socket: FrameSocket, run: () => Promise<Value>): Promise<Value> {
  const timer = setTimeout(() => socket.destroy(), handshakeTimeoutMilliseconds);
  try {
    return await run();
  } finally {
    clearTimeout(timer);
  }
}

async function expectFrame(
  socket: FrameSocket,
  type: Frame['type'],
): Promise<Result<Frame, HandshakeError>> {
  const frame = await socket.read();
  if (!frame.ok) return frame;
  if (frame.value.type === type) return frame;
  if (frame.value.type === FrameType.rejection) {
    return fail({ type: 'rejected-by-peer', detail: frame.value.reason });
  }
  return reject(socket, `expected a frame of type ${type}, received type ${frame.value.type}`);
}

function findWrongProof(
  endpoint: LocalEndpoint,
  side: (typeof HandshakeSide)[keyof typeof HandshakeSide],
  nonces: HandshakeNonces,
  hello: HelloFrame,
  proof: Buffer,
): string | undefined {
  const expected = createProof(endpoint.sharedKey, side, nonces, hello.identity);
  if (proofsMatch(expected, proof)) return undefined;
  return `node "${hello.identity.nodeId}" did not prove that it knows the shared key`;
}

function reject(socket: FrameSocket, detail: string): Result<never, HandshakeError> {
  socket.write({ type: FrameType.rejection, reason: detail });
  socket.end();
  return fail({ type: 'rejected', detail });
}

function introduce(
  socket: FrameSocket,
  hello: HelloFrame,
  clockOffset: ClockOffset,
): PeerIntroduction {
  socket.allowPayload(maxFrameBytes);
  return {
    identity: hello.identity,
    location: hello.location,
    version: hello.version,
    deploymentNumber: hello.deploymentNumber,
    clockOffset,
  };
}
