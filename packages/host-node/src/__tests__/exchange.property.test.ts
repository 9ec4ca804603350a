import { LossCause, StreamedBody, type RequestBody } from '@hickorybridge/peer-protocol';
import { systemClock } from '@hickorybridge/utils';
import { assert as check, asyncProperty, constantFrom, integer, option, record } from 'fast-check';
import assert from 'node:assert/strict';
import { PassThrough, type Readable } from 'node:stream';
import { it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { BackendServerExchange, type ExchangeOutcome } from '../backend/BackendServerExchange.js';
import { ConnectionAgent } from '../backend/ConnectionAgent.js';
import { host } from './fleet.js';
import {
  createBody,
  encodeAnswer,
  Ending,
  Framing,
  ScriptedServer,
  type AnswerScript,
  type ReceivedRequest,
} from './scriptedServer.js';

const seed = Number(process.env.FUZZ_SEED ?? 2026);
const seconds = Number(process.env.FUZZ_SECONDS ?? 10);
/** An exchange that nothing else has ended is cancelled after this time. */
const limitMilliseconds = 200;
/** After the end of an exchange its connection is closed or idle within this time. */
const settleMilliseconds = 1000;
const uploadPieceBytes = 20_000;

/** What this side does with the exchange. */
interface CallerScript {
  readonly uploadBytes: number | null;
  /** Share of the upload that the caller sends before it leaves; 1 for all of it. */
  readonly uploadShare: number;
  /** Time until the answer is read, as that of an error answer which is kept during a retry. */
  readonly readAfterMilliseconds: number;
  /** Pause of the reader after each part of the answer. */
  readonly readDelayMilliseconds: number;
  /** Bytes after which the reader leaves. */
  readonly leaveAfterBytes: number | null;
  readonly cancelAfterMilliseconds: number | null;
}

const answerScript = record<AnswerScript>({
  status: constantFrom(200, 200, 200, 500, 500, 0, 99, 100, 101, 102, 199, 204, 304, 600, 999),
  framing: constantFrom(...Object.values(Framing)),
  bodyBytes: constantFrom(0, 1, 1000, 33_000, 70_000, 100_000, 150_000),
  header: constantFrom('none', 'none', 'none', 'not-executed', 'malformed', 'other-id'),
  pieceBytes: constantFrom(200, 5000, 200_000),
  sentShare: constantFrom(1, 1, 0.1, 0.5, 0.9, 0.99999),
  ending: constantFrom(...Object.values(Ending)),
  early: constantFrom(false, true),
}).map((script) => ({
  ...script,
  // Small pieces of a long answer would take longer than the exchange may.
  pieceBytes: Math.max(script.pieceBytes, Math.ceil(script.bodyBytes / 50)),
}));

const callerScript = record<CallerScript>({
  uploadBytes: option(constantFrom(40_000, 100_000)),
  uploadShare: constantFrom(1, 1, 0.5),
  readAfterMilliseconds: constantFrom(0, 0, 80),
  readDelayMilliseconds: constantFrom(0, 0, 20),
  leaveAfterBytes: option(constantFrom(0, 20_000), { freq: 3 }),
  cancelAfterMilliseconds: option(integer({ min: 0, max: 60 })),
});

/** Sends an upload, or leaves in the middle of it. */
async function upload(stream: PassThrough, { uploadBytes, uploadShare }: CallerScript) {
  const body = createBody(uploadBytes ?? 0);
  const end = Math.floor(body.length * uploadShare);
  for (let offset = 0; offset < end && !stream.destroyed; offset += uploadPieceBytes) {
    stream.write(body.subarray(offset, Math.min(end, offset + uploadPieceBytes)));
    await sleep(2);
  }
  if (uploadShare === 1) stream.end();
  else stream.destroy(new Error('the caller has left'));
}

/** Reads the body of an answer as the script says; `complete` if it ended without an error. */
async function read(stream: Readable, caller: CallerScript) {
  const { leaveAfterBytes, readAfterMilliseconds, readDelayMilliseconds } = caller;
  await sleep(readAfterMilliseconds);
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    if (leaveAfterBytes === 0) stream.destroy();
    for await (const chunk of stream) {
      chunks.push(chunk as Buffer);
      size += (chunk as Buffer).length;
      if (leaveAfterBytes !== null && size >= leaveAfterBytes) {
        return { data: Buffer.concat(chunks), complete: false };
      }
      await sleep(readDelayMilliseconds);
    }
    return { data: Buffer.concat(chunks), complete: true };
  } catch {
    return { data: Buffer.concat(chunks), complete: false };
  }
}

function isPrefix(part: Buffer, whole: Buffer): boolean {
  return part.equals(whole.subarray(0, part.length));
}

/** Without a length, an answer that is broken off by a normal close looks like a complete one. */
function looksComplete({ ending, framing }: AnswerScript): boolean {
  return framing === Framing.none && ending === Ending.close;
}

const requestId = 'x';
const endOfHead = '\r\n\r\n';

/** Whether no part of an answer with this status may be passed on, nor its word that nothing ran. */
function isMalformed({ bodyBytes, framing, status }: AnswerScript): boolean {
  const declaresBody = framing === Framing.chunked || (framing === Framing.length && bodyBytes > 0);
  return status < 200 || status > 599 || (status === 204 && declaresBody);
}

/** Whether the first bytes of a body arrive with the head of an answer that may have none. */
function hasExcludedBody(script: AnswerScript): boolean {
  const answer = encodeAnswer(script, requestId);
  const firstPart = Math.min(script.pieceBytes, Math.floor(answer.length * script.sentShare));
  const isBodiless = script.status === 204 || script.status === 304;
  return isBodiless && firstPart > answer.indexOf(endOfHead) + endOfHead.length;
}

async function checkAnswer(outcome: ExchangeOutcome, script: AnswerScript, caller: CallerScript) {
  if (outcome.type === 'not-run') {
    const isTaken = isMalformed(script) && outcome.reason !== 'cancelled';
    assert.ok(!isTaken, `a malformed answer says that the request has not run: ${script.status}`);
    const isCancelled = outcome.reason === 'cancelled' && caller.cancelAfterMilliseconds !== null;
    const isProved = script.header === 'not-executed' && outcome.reason === 'backend-server-shed';
    assert.ok(isCancelled || isProved, `not run: ${outcome.reason}`);
    return;
  }
  if (outcome.type === 'lost') return;
  assert.equal(script.header, 'none', 'the answer is not that of the request');
  assert.equal(outcome.head.status, script.status);
  assert.ok(!isMalformed(script), `the status ${script.status} is passed on`);
  assert.ok(!hasExcludedBody(script), `the status ${script.status} is passed on with a body`);
  const isBodiless = script.status === 204 || script.status === 304;
  const body = createBody(isBodiless ? 0 : script.bodyBytes);
  const { data, complete } =
    outcome.body.type === 'whole'
      ? { data: outcome.body.data, complete: true }
      : await read(outcome.body.stream, caller);
  assert.ok(isPrefix(data, body), 'the bytes are not those of the answer');
  if (complete && !looksComplete(script)) {
    assert.equal(data.length, body.length, 'a short answer looks whole');
  }
}

function checkRequest({ body, complete }: ReceivedRequest, { uploadBytes }: CallerScript) {
  const sent = createBody(uploadBytes ?? 0);
  assert.ok(isPrefix(body, sent), 'the bytes are not those of the request');
  if (complete) assert.equal(body.length, sent.length, 'a short request looks whole');
}

async function waitFor(condition: () => boolean, failure: string): Promise<void> {
  const end = systemClock.now() + settleMilliseconds;
  while (!condition()) {
    assert.ok(systemClock.now() < end, failure);
    await sleep(2);
  }
}

async function runExchange(script: AnswerScript, caller: CallerScript): Promise<void> {
  await using server = await new ScriptedServer(script).start();
  const agent = new ConnectionAgent(1);
  const source = new PassThrough();
  const body: RequestBody =
    caller.uploadBytes === null
      ? { type: 'none' }
      : { type: 'stream', source: new StreamedBody(source) };
  let ends = 0;
  const exchange = new BackendServerExchange({
    agent,
    host,
    port: server.port,
    head: {
      requestId,
      service: 'desk',
      backendServerId: 'b',
      incarnation: 0,
      kind: 'orders',
      idempotent: false,
      weight: 1,
      method: 'POST',
      target: '/orders/1',
      headers: ['host', 'a.example', 'request-id', requestId],
      deadline: systemClock.now() + limitMilliseconds,
      depth: 0,
      attempts: 1,
    },
    body,
    clock: systemClock,
    onLoad: () => {},
    onEnd: () => {
      ends += 1;
    },
  });
  const { cancelAfterMilliseconds } = caller;
  const cancelDelay = cancelAfterMilliseconds ?? limitMilliseconds;
  const timer = setTimeout(() => exchange.cancel(LossCause.deadline), cancelDelay);
  const uploading = caller.uploadBytes === null ? undefined : upload(source, caller);
  await checkAnswer(await exchange.outcome, script, caller);
  await waitFor(() => ends > 0, 'the end of the exchange was not reported');
  clearTimeout(timer);
  await uploading;
  await waitFor(() => Object.keys(agent.sockets).length === 0, 'a connection is still in use');
  agent.destroy();
  await waitFor(() => server.connections === 0, 'a connection stays open');
  for (const request of server.received) checkRequest(request, caller);
  assert.equal(ends, 1);
}

it('guards against answers and requests that are short and look whole, and against exchanges that do not end', async () => {
  await check(asyncProperty(answerScript, callerScript, runExchange), {
    seed,
    numRuns: Number.MAX_SAFE_INTEGER,
    interruptAfterTimeLimit: seconds * 1000,
    markInterruptAsFailure: false,
  });
});
