import { silentLogger } from '@hickorybridge/logger';
import { Distance, succeed } from '@hickorybridge/types';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { PeerConnection, type PeerConnectionOptions } from '../PeerConnection.js';

const tickMilliseconds = 100;

/** A connection whose peer never answers, with a clock that the test moves. */
function connectToSilentPeer() {
  let now = 0;
  const connection = new PeerConnection({
    socket: {
      closed: false,
      closeReason: undefined,
      write: () => 10,
      takeBuffered: () => succeed(undefined),
      onReceive: () => {},
      destroy: () => {},
    },
    introduction: { identity: { nodeId: 'b', incarnation: 1 }, location: {} },
    dialled: true,
    distance: Distance.sameFailureDomain,
    traffic: { add: () => {} },
    budget: { spend: () => {} },
    liveness: {
      heartbeatWhenWaitingMilliseconds: 250,
      heartbeatWhenIdleMilliseconds: 10_000,
      silenceLimitMilliseconds: 700,
      closeAfterMilliseconds: 10_000,
      tickMilliseconds,
    },
    waitsForSilentPeer: () => false,
    onSilent: () => {},
    clock: { now: () => now },
    logger: silentLogger,
  } as unknown as PeerConnectionOptions);
  connection.run();
  const tickAfter = (milliseconds: number) => {
    now += milliseconds;
    connection.tick();
  };
  return { connection, tickAfter };
}

describe('PeerConnection', () => {
  // The tick after a stall comes before the bytes that arrived meanwhile are read.
  for (const stall of [800, 1500, 5000]) {
    it(`guards against giving up requests of a peer because this process stood still for ${stall} ms`, () => {
      const { connection, tickAfter } = connectToSilentPeer();
      tickAfter(tickMilliseconds);
      tickAfter(stall);
      assert.equal(connection.silent, false);
    });
  }

  it('guards against a silent peer that a process with frequent stalls never notices', () => {
    const { connection, tickAfter } = connectToSilentPeer();
    for (let count = 0; count < 5; count += 1) tickAfter(400);
    assert.equal(connection.silent, true);
  });

  it('guards against a silent peer that is noticed late', () => {
    const { connection, tickAfter } = connectToSilentPeer();
    for (let count = 0; count < 8; count += 1) tickAfter(tickMilliseconds);
    assert.equal(connection.silent, true);
  });
});
