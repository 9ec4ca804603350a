import type { LoadReport, RequestHead } from '@hickorybridge/types';
import { systemClock } from '@hickorybridge/utils';
import {
  array,
  assert as check,
  asyncProperty,
  constant,
  constantFrom,
  integer,
  oneof,
  option,
  record,
} from 'fast-check';
import assert from 'node:assert/strict';
import { PassThrough, type Readable } from 'node:stream';
import { it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { maxWholeBodyBytes, type AnswerBody } from '../AnswerBody.js';
import type { ExecutionOutcome, RequestBody, RequestExecutor } from '../RequestExecutor.js';
import { StreamedBody } from '../StreamedBody.js';
import { SimulatedLink } from './SimulatedLink.js';

const seed = Number(process.env.FUZZ_SEED ?? 2026);
const seconds = Number(process.env.FUZZ_SECONDS ?? 10);
/** What nothing else has ended is cancelled after this time. */
const limitMilliseconds = 60;
/** After that, both sides have forgotten a request within this time. */
const settleMilliseconds = 1000;
const pieceBytes = 20_000;
const report: LoadReport = {
  limit: 4,
  inFlight: 1,
  queued: 0,
  serviceMilliseconds: 3,
  rampShare: 1,
};

/** The upload of the caller; all attempts share it. */
interface UploadScript {
  readonly bytes: number;
  /** Share of the upload that the caller sends before it leaves; 1 for all of it. */
  readonly share: number;
}

/** What a host does with a request. */
interface HostScript {
  readonly result: 'refuse' | 'lose' | 'fail' | 'answer';
  readonly waitMilliseconds: number;
  /** Share of the upload that is read before the answer; the rest is read after it. */
  readonly readShare: number;
  readonly answerBytes: number;
  /** Share of the answer that is sent before `ending`; 1 for all of it. */
  readonly answerShare: number;
  /** `end` ends a declared body normally, as a faulty host does; any other body breaks off. */
  readonly ending: 'break' | 'stall' | 'end';
  readonly declaresLength: boolean;
}

/** One sending of the request to one host. */
interface AttemptScript {
  readonly startMilliseconds: number;
  readonly framesUntilCut: number | null;
  readonly cancelMilliseconds: number | null;
  /** Pause of the reader after each part of the answer. */
  readonly readDelayMilliseconds: number;
  /** Bytes after which the reader leaves. */
  readonly leaveAfterBytes: number | null;
  readonly host: HostScript;
}

const uploadScript = option(
  record<UploadScript>({
    bytes: constantFrom(0, 40_000, 300_000, 600_000),
    share: constantFrom(1, 1, 0.5),
  }),
);

const attemptScript = record<AttemptScript>({
  startMilliseconds: constantFrom(0, 0, 3, 20),
  framesUntilCut: option(integer({ min: 0, max: 60 }), { freq: 3 }),
  cancelMilliseconds: option(integer({ min: 0, max: 30 }), { freq: 3 }),
  readDelayMilliseconds: constantFrom(0, 0, 2),
  leaveAfterBytes: option(constantFrom(0, 50_000), { freq: 4 }),
  host: record<HostScript>({
    result: oneof(
      { weight: 5, arbitrary: constant('answer' as const) },
      { weight: 2, arbitrary: constant('refuse' as const) },
      { weight: 2, arbitrary: constantFrom('lose' as const, 'fail' as const) },
    ),
    waitMilliseconds: constantFrom(0, 0, 5),
    readShare: constantFrom(0, 0.5, 1),
    answerBytes: constantFrom(0, 1000, maxWholeBodyBytes + 1, 100_000, 700_000),
    answerShare: constantFrom(1, 1, 1, 0.5, 0.9999),
    ending: constantFrom('break', 'stall', 'end'),
    declaresLength: constantFrom(false, true),
  }),
});

/** Bytes of which each part differs from the others. */
function createBody(bytes: number): Buffer {
  const body = Buffer.alloc(bytes);
  for (let offset = 0; offset + 4 <= bytes; offset += 4) body.writeUInt32BE(offset, offset);
  return body;
}

function createHead(): RequestHead {
  return {
    requestId: 'x',
    service: 'desk',
    backendServerId: 'b',
    incarnation: 0,
    kind: 'orders',
    idempotent: false,
    weight: 1,
    method: 'POST',
    target: '/orders/1',
    headers: [],
    deadline: systemClock.now() + limitMilliseconds,
    depth: 0,
    attempts: 1,
  };
}

/** Writes a part of a body piece by piece; `finish` says how it ends. */
async function produce(stream: PassThrough, data: Buffer, finish: () => void): Promise<void> {
  for (let offset = 0; offset < data.length && !stream.destroyed; offset += pieceBytes) {
    stream.write(data.subarray(offset, offset + pieceBytes));
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  finish();
}

/** What a reader got of a body. */
interface Received {
  data: Buffer;
  complete: boolean;
}

/** Reads a body; `onData` may end the reading by destroying the stream. */
async function read(stream: Readable, received: Received, onData: () => unknown): Promise<void> {
  try {
    for await (const chunk of stream) {
      Object.assign(received, { data: Buffer.concat([received.data, chunk as Buffer]) });
      await onData();
    }
    Object.assign(received, { complete: true });
  } catch {
    // A body that breaks off stays incomplete.
  }
}

function checkReceived({ complete, data }: Received, sent: Buffer, name: string): void {
  assert.ok(data.equals(sent.subarray(0, data.length)), `the bytes are not those of the ${name}`);
  if (complete) assert.equal(data.length, sent.length, `a short ${name} looks whole`);
}

/** Runs requests as its script says. */
class ScriptedHost implements RequestExecutor {
  /** What came of the upload; `undefined` if it was not taken. */
  upload: Received | undefined;

  ran = false;

  readonly answer: Buffer;

  readonly #script: HostScript;

  readonly #uploadBytes: number;

  constructor(script: HostScript, uploadBytes: number) {
    this.#script = script;
    this.#uploadBytes = uploadBytes;
    this.answer = createBody(script.answerBytes);
  }

  async execute(
    _head: RequestHead,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<ExecutionOutcome> {
    const { result, waitMilliseconds } = this.#script;
    if (waitMilliseconds > 0) await sleep(waitMilliseconds);
    if (result === 'refuse') return { type: 'refused', reason: 'queue-full', report };
    this.ran = true;
    if (body.type === 'stream') {
      const stream = body.source.take();
      if (stream === undefined) return { type: 'lost', cause: 'connection', detail: 'no body' };
      await this.#readUpload(stream, signal);
    }
    if (result === 'fail') throw new Error('a fault of the host');
    if (result === 'lose') return { type: 'lost', cause: 'connection', detail: 'lost' };
    return this.#createAnswer();
  }

  /** Resolves once the share that comes before the answer is read; goes on reading after it. */
  async #readUpload(stream: Readable, signal: AbortSignal): Promise<void> {
    const { readShare } = this.#script;
    const upload: Received = { data: Buffer.alloc(0), complete: false };
    this.upload = upload;
    await new Promise<void>((resolve) => {
      const resolveWhenEnough = () => {
        if (readShare < 1 && upload.data.length >= readShare * this.#uploadBytes) resolve();
      };
      signal.addEventListener('abort', () => resolve());
      read(stream, upload, resolveWhenEnough).then(resolve);
      resolveWhenEnough();
    });
  }

  #createAnswer(): ExecutionOutcome {
    const { answerBytes, answerShare, declaresLength, ending } = this.#script;
    const head = { status: 200, headers: [] };
    if (answerBytes <= maxWholeBodyBytes) {
      return { type: 'answered', head, report, body: { type: 'whole', data: this.answer } };
    }
    const stream = new PassThrough();
    const part = this.answer.subarray(0, Math.floor(answerBytes * answerShare));
    produce(stream, part, () => {
      if (answerShare === 1 || (ending === 'end' && declaresLength)) stream.end();
      else if (ending !== 'stall') stream.destroy(new Error('the answer broke off'));
    });
    stream.on('error', () => {});
    const framing = declaresLength ? { contentLength: answerBytes } : {};
    const body: AnswerBody = { type: 'stream', stream };
    return { type: 'answered', head: { ...head, ...framing }, report, body };
  }
}

async function waitFor(condition: () => boolean, failure: string): Promise<void> {
  const end = systemClock.now() + settleMilliseconds;
  while (!condition()) {
    assert.ok(systemClock.now() < end, failure);
    await sleep(1);
  }
}

async function checkAnswer(body: AnswerBody, host: ScriptedHost, script: AttemptScript) {
  if (body.type === 'whole') {
    checkReceived({ data: body.data, complete: true }, host.answer, 'answer');
    return;
  }
  const { leaveAfterBytes, readDelayMilliseconds } = script;
  const received: Received = { data: Buffer.alloc(0), complete: false };
  const timer = setTimeout(() => body.stream.destroy(), limitMilliseconds);
  if (leaveAfterBytes === 0) body.stream.destroy();
  await read(body.stream, received, async () => {
    if (leaveAfterBytes !== null && received.data.length >= leaveAfterBytes) body.stream.destroy();
    if (readDelayMilliseconds > 0) await sleep(readDelayMilliseconds);
  });
  clearTimeout(timer);
  checkReceived(received, host.answer, 'answer');
}

async function runAttempt(script: AttemptScript, body: RequestBody, uploadBytes: number) {
  const host = new ScriptedHost(script.host, uploadBytes);
  await sleep(script.startMilliseconds);
  const head = createHead();
  const link = new SimulatedLink(head, host, script.framesUntilCut ?? Number.MAX_SAFE_INTEGER);
  link.start(head, body);
  const cancelMilliseconds = script.cancelMilliseconds ?? limitMilliseconds;
  const timer = setTimeout(() => link.outgoing.cancel(), cancelMilliseconds);
  const limit = setTimeout(() => link.cut(), limitMilliseconds * 2);
  const outcome = await link.outgoing.outcome;
  clearTimeout(timer);
  if (outcome.type === 'refused') assert.equal(host.ran, false, 'a refused request has run');
  if (outcome.type === 'answered') {
    assert.equal(script.host.result, 'answer');
    await checkAnswer(outcome.body, host, script);
  }
  clearTimeout(limit);
  await waitFor(() => !link.open.caller, 'the caller still waits for a stream');
  await waitFor(() => !link.open.executor, 'the host still works on a stream');
  assert.equal(link.violated, false, 'a side breaks the protocol');
  return host;
}

async function runRequest(
  upload: UploadScript | null,
  attempts: readonly AttemptScript[],
): Promise<void> {
  const sent = createBody(upload?.bytes ?? 0);
  const source = new PassThrough();
  const body: RequestBody =
    upload === null ? { type: 'none' } : { type: 'stream', source: new StreamedBody(source) };
  const share = upload?.share ?? 1;
  const uploading = produce(source, sent.subarray(0, Math.floor(sent.length * share)), () => {
    if (share === 1) source.end();
    else source.destroy(new Error('the caller has left'));
  });
  const hosts = await Promise.all(attempts.map((script) => runAttempt(script, body, sent.length)));
  await uploading;
  source.destroy();
  const uploads = hosts.flatMap((host) => host.upload ?? []);
  for (const received of uploads) checkReceived(received, sent, 'request');
  const readers = uploads.filter(({ data }) => data.length > 0);
  assert.ok(readers.length <= 1, 'a body has two readers');
}

it('guards against bodies between nodes that are short and look whole or have two readers, and against streams that do not end', async () => {
  const attempts = array(attemptScript, { minLength: 1, maxLength: 2 });
  await check(asyncProperty(uploadScript, attempts, runRequest), {
    seed,
    numRuns: Number.MAX_SAFE_INTEGER,
    interruptAfterTimeLimit: seconds * 1000,
    markInterruptAsFailure: false,
  });
});
