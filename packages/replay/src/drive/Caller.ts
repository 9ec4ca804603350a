import type { Deployment, RequestKind, Service } from '@hickorybridge/configuration';
import { answerBody, preciseWallTime } from '@hickorybridge/stand-ins';
import { hashString } from '@hickorybridge/utils';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { TraceRequest } from '../trace/traceEntry.js';
import { Told } from './reply.js';
import type { CallerRecord } from './reply.js';

/** Time that a reply may take beyond the deadline of its kind, in milliseconds. */
const replyMarginMilliseconds = 4_000;

/** Nodes that a caller tries when connections are refused. */
const maximumNodes = 4;

/** A node that a caller can reach. */
export interface CallerTarget {
  readonly nodeId: string;
  /** Base address of the callers' listener. */
  readonly url: string;
}

/** One sending of a request of a trace. */
export interface Sending {
  readonly entry: TraceRequest;
  /** Unique mark of this sending. */
  readonly mark: string;
  /** Determines the service time, so that each repetition of a trace meets the same work. */
  readonly work: string;
  /** Nodes in the order in which they are tried. */
  readonly targets: readonly CallerTarget[];
}

type Attempt =
  | { readonly type: 'reply'; readonly reply: Dispatcher.ResponseData; readonly body: Buffer }
  | { readonly type: 'refused' | 'cut-off' | 'nothing'; readonly detail: string };

/** Stand-in for the callers of a deployment. */
export class Caller implements AsyncDisposable {
  readonly #deployment: Deployment;

  readonly #agent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  /** Sends one request and waits until it is over. Never throws for a fault of the system. */
  async send(sending: Sending): Promise<CallerRecord> {
    const { service, kind } = findKind(this.#deployment, sending.entry);
    const sentAt = preciseWallTime();
    const start = performance.now();
    const { attempt, nodeId } = await this.#tryNodes(sending, service, kind);
    const common = {
      mark: sending.mark,
      key: sending.entry.key,
      service: service.name,
      kind: kind.name,
      idempotent: kind.idempotent,
      region: sending.entry.region,
      nodeId,
      sentAt,
      milliseconds: performance.now() - start,
    };
    if (attempt.type === 'reply') return { ...common, ...interpret(attempt, sending) };
    return { ...common, ...withoutReply(attempt) };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
  }

  async #tryNodes(sending: Sending, service: Service, kind: RequestKind) {
    let attempt: Attempt = { type: 'refused', detail: 'no node to send to' };
    for (const target of sending.targets.slice(0, maximumNodes)) {
      attempt = await this.#attempt(target, { sending, service, kind });
      if (attempt.type !== 'refused') return { attempt, nodeId: target.nodeId };
    }
    return { attempt, nodeId: undefined };
  }

  async #attempt(
    target: CallerTarget,
    { sending, service, kind }: { sending: Sending; service: Service; kind: RequestKind },
  ): Promise<Attempt> {
    const timeout = AbortSignal.timeout(kind.deadlineMilliseconds + replyMarginMilliseconds);
    try {
      const reply = await request(`${target.url}${targetOf(kind, sending)}`, {
        dispatcher: this.#agent,
        method: kind.method,
        headers: headersOf(service, sending),
        body: kind.method === 'GET' ? null : bodyOf(sending),
        signal: timeout,
      });
      const body = Buffer.from(await reply.body.arrayBuffer());
      return { type: 'reply', reply, body };
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      if (timeout.aborted) return { type: 'nothing', detail };
      const refused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
      return { type: refused ? 'refused' : 'cut-off', detail };
    }
  }
}

function findKind(deployment: Deployment, entry: TraceRequest) {
  const service = deployment.services.find((candidate) => candidate.name === entry.service);
  const kind = service?.kinds.find((candidate) => candidate.name === entry.kind);
  if (service !== undefined && kind !== undefined) return { service, kind };
  throw new Error(`sending ${entry.service}/${entry.kind}: ${deployment.name} has no such kind`);
}

/** Requests with the same key have the same path and body, as a caller's repetition has. */
function targetOf(kind: RequestKind, sending: Sending): string {
  const name = `n${hashString(sending.entry.key ?? sending.work) % 1_000_000}`;
  return kind.path.replaceAll(/:[A-Za-z][A-Za-z0-9]*/g, name).replace(/\*$/, name);
}

function headersOf(service: Service, sending: Sending): Record<string, string> {
  return {
    host: service.hosts[0] ?? service.name,
    'x-mark': sending.mark,
    'x-work': sending.work,
    'x-answer-bytes': String(sending.entry.size),
    ...(sending.entry.key === undefined ? {} : { 'idempotency-key': sending.entry.key }),
  };
}

function bodyOf(sending: Sending): string {
  return JSON.stringify({ order: sending.entry.key ?? sending.work });
}

function interpret(attempt: Extract<Attempt, { type: 'reply' }>, sending: Sending) {
  const { statusCode, headers } = attempt.reply;
  const outcome = text(headers['hickorybridge-outcome']);
  const replayed = text(headers['hickorybridge-replayed']) === 'true';
  const told = Object.values(Told).find((candidate) => candidate === outcome) ?? Told.cutOff;
  return {
    told,
    status: statusCode,
    problem: told === Told.answered ? undefined : problemOf(attempt.body),
    requestId: text(headers['hickorybridge-request-id']),
    replayed,
    bytesRight: told !== Told.answered || isRightAnswer(attempt, sending, replayed),
  };
}

function isRightAnswer(
  attempt: Extract<Attempt, { type: 'reply' }>,
  sending: Sending,
  replayed: boolean,
): boolean {
  // A backend server's own 503 is a complete answer without a marked body.
  if (attempt.reply.statusCode !== 200) return true;
  const mark = text(attempt.reply.headers['x-mark']);
  if (mark === undefined || (!replayed && mark !== sending.mark)) return false;
  return answerBody(mark, sending.entry.size).equals(attempt.body);
}

function problemOf(body: Buffer): string | undefined {
  try {
    const problem: unknown = JSON.parse(body.toString('utf8'));
    if (typeof problem === 'object' && problem !== null && 'type' in problem) {
      return String(problem.type);
    }
  } catch {
    // A reply without problem details has no type.
  }
  return undefined;
}

function withoutReply(attempt: Extract<Attempt, { detail: string }>) {
  // A refused connection proves to the caller that nothing was sent.
  const told = { refused: Told.notRun, 'cut-off': Told.cutOff, nothing: Told.nothing } as const;
  return {
    told: told[attempt.type],
    status: 0,
    problem: undefined,
    requestId: undefined,
    replayed: false,
    bytesRight: true,
    detail: attempt.detail,
  };
}

function text(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
