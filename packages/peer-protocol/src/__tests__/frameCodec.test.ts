import type { AnswerHead, LoadReport, RequestHead } from '@hickorybridge/types';
import { decode, encode } from 'cbor-x';
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import {
  BodyMode,
  decodeFrame,
  encodeFrame,
  FrameType,
  lengthPrefixBytes,
  type AnswerFrame,
} from '../index.js';

const report: LoadReport = {
  limit: 4,
  inFlight: 1,
  queued: 0,
  serviceMilliseconds: 3,
  rampShare: 1,
};

/** Fields of an answer frame up to version 4 of the protocol, which reads no further ones. */
const fieldsOfVersion4 = [
  FrameType.answer,
  7,
  200,
  ['etag', '"1"'],
  [4, 1, 0, 3, 1, null, null, null, null],
  null,
  false,
];

function createAnswer(head: Partial<AnswerHead> = {}): AnswerFrame {
  return {
    type: FrameType.answer,
    stream: 7,
    head: { status: 200, headers: ['etag', '"1"'], ...head },
    report,
    body: undefined,
  };
}

function fieldsOf(frame: AnswerFrame): unknown {
  return decode(encodeFrame(frame).subarray(lengthPrefixBytes));
}

const requestHead: RequestHead = {
  requestId: 'r',
  service: 'desk',
  backendServerId: 'b',
  incarnation: 0,
  kind: 'reads',
  idempotent: true,
  weight: 1,
  method: 'GET',
  target: '/',
  headers: [],
  deadline: 100,
  depth: 0,
  attempts: 1,
};

describe('frameCodec', () => {
  it('guards against a declared length that is lost or altered between nodes', () => {
    for (const head of [{ contentLength: 0 }, { contentLength: 5_000_000_000 }, {}]) {
      const frame = createAnswer(head);
      const decoded = decodeFrame(encodeFrame(frame).subarray(lengthPrefixBytes));
      assert.ok(decoded.ok && decoded.value.type === FrameType.answer);
      assert.deepEqual(decoded.value.head, frame.head);
    }
  });

  it('guards against an answer that a node of version 4 does not understand', () => {
    assert.deepEqual(fieldsOf(createAnswer()), fieldsOfVersion4);
    assert.deepEqual(fieldsOf(createAnswer({ contentLength: 9 })), [...fieldsOfVersion4, 9]);
  });

  it('guards against an answer of a node of version 4 or 2 that is not understood', () => {
    for (const fields of [fieldsOfVersion4, fieldsOfVersion4.slice(0, -1)]) {
      const decoded = decodeFrame(encode(fields));
      assert.ok(decoded.ok && decoded.value.type === FrameType.answer);
      assert.deepEqual(decoded.value.head, createAnswer().head);
    }
  });

  it('guards against a status between nodes that is not that of a final answer', () => {
    for (const status of [0, 99, 100, 101, 199, 200.5, 600, 999, 65_536]) {
      const fields = fieldsOfVersion4.with(2, status);
      assert.equal(decodeFrame(encode(fields)).ok, false, String(status));
    }
  });

  it('guards against a declared length that is no count', () => {
    for (const length of [-1, 1.5, '9', Number.NaN]) {
      assert.equal(decodeFrame(encode([...fieldsOfVersion4, length])).ok, false);
    }
  });

  // Calls of a repeated run count as repeats, so the host that runs it has to know.
  it('guards against a repeat that another node does not know as one', () => {
    const isRepeatIn = (data: Buffer) => {
      const decoded = decodeFrame(data);
      assert.ok(decoded.ok && decoded.value.type === FrameType.open);
      return decoded.value.head.isRepeat ?? false;
    };
    const encoded = [true, false].map((isRepeat) =>
      encodeFrame({
        type: FrameType.open,
        stream: 1,
        head: { ...requestHead, isRepeat },
        bodyMode: BodyMode.none,
        body: undefined,
        clock: 5,
      }).subarray(lengthPrefixBytes),
    );
    assert.deepEqual(encoded.map(isRepeatIn), [true, false]);
    const fieldsOfOlderNode = (decode(encoded[0] as Buffer) as unknown[]).slice(0, -1);
    assert.equal(isRepeatIn(encode(fieldsOfOlderNode)), false);
  });

  it('guards against a hedge that another node does not know as one, or a field of tenants that shifts', () => {
    const marks = [
      {},
      { isHedge: true },
      { tenant: 'a', tenantPriority: 1 },
      { tenant: 'a', isHedge: true },
    ];
    for (const mark of marks) {
      const head = { ...requestHead, ...mark };
      const frame = { type: FrameType.open, stream: 1, head, bodyMode: BodyMode.none } as const;
      const encoded = encodeFrame({ ...frame, body: undefined, clock: 5 });
      const decoded = decodeFrame(encoded.subarray(lengthPrefixBytes));
      assert.ok(decoded.ok && decoded.value.type === FrameType.open);
      const { isHedge, tenant, tenantPriority } = decoded.value.head;
      const expected = { isHedge: undefined, tenant: undefined, tenantPriority: undefined };
      assert.deepEqual({ isHedge, tenant, tenantPriority }, { ...expected, ...mark });
    }
  });
});
