import type { Location, NodeIdentity } from '@hickorybridge/types';
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

import { oldestProtocolVersion, protocolVersion, FrameType, type HelloFrame } from './frame.js';

const nonceBytes = 16;

/** Who this process is, as it tells its peers. */
export interface LocalEndpoint {
  readonly identity: NodeIdentity;
  readonly location: Location;
  /** Key that all nodes share; without one, any process that reaches the listener is accepted. */
  readonly sharedKey: string | undefined;
  /** Number of the deployment in effect; 0 when there is none. */
  readonly deploymentNumber: () => number;
}

/** Which side of a handshake a proof is for, so that a proof cannot be sent back as one's own. */
export const HandshakeSide = { dialling: 'dialling', accepting: 'accepting' } as const;

type HandshakeSide = (typeof HandshakeSide)[keyof typeof HandshakeSide];

/** Makes the hello of this process. */
export function createHello(endpoint: LocalEndpoint, clock: number): HelloFrame {
  return {
    type: FrameType.hello,
    version: protocolVersion,
    oldestVersion: oldestProtocolVersion,
    identity: endpoint.identity,
    location: endpoint.location,
    deploymentNumber: endpoint.deploymentNumber(),
    nonce: randomBytes(nonceBytes),
    clock,
    proof: Buffer.alloc(0),
  };
}

/** Explains why two versions of the protocol cannot work together, if they cannot. */
export function findVersionConflict(hello: HelloFrame): string | undefined {
  if (hello.version >= oldestProtocolVersion && hello.oldestVersion <= protocolVersion) {
    return undefined;
  }
  const ours = `${oldestProtocolVersion} to ${protocolVersion}`;
  return `peer speaks protocol versions ${hello.oldestVersion} to ${hello.version}, this node ${ours}`;
}

/** What both sides of a handshake have in common. */
export interface HandshakeNonces {
  readonly dialling: Buffer;
  readonly accepting: Buffer;
}

/** Computes the proof that a node knows the shared key; empty without a key. */
export function createProof(
  sharedKey: string | undefined,
  side: HandshakeSide,
  nonces: HandshakeNonces,
  identity: NodeIdentity,
): Buffer {
  if (sharedKey === undefined) return Buffer.alloc(0);
  return createHmac('sha256', sharedKey)
    .update(`${side}\n${identity.nodeId}\n${identity.incarnation}\n`)
    .update(nonces.dialling)
    .update(nonces.accepting)
    .digest();
}

/** Compares two proofs in constant time. */
export function proofsMatch(expected: Buffer, actual: Buffer): boolean {
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
