import { request, type Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { loopback } from '../mesh/meshFiles.js';
import type { MeshRoute } from '../mesh/meshShape.js';
import type { EventRecord } from '../record/EventRecord.js';
import { RequestEnd, type EventFields, type SoakOccurrence } from '../record/SoakEvent.js';

/** Where a request goes. */
export interface SendTarget {
  readonly node: string;
  readonly port: number;
}

/** One request. */
export interface SendOptions {
  readonly target: SendTarget;
  readonly route: MeshRoute;
  readonly timeoutMilliseconds: number;
  readonly deadlineMilliseconds: number;
  /** Keeps connections; without one, the request opens its own. */
  readonly agent?: Agent | undefined;
  readonly parent?: string;
  readonly belowRepeat?: boolean;
  /** When the caller leaves, if before its deadline. */
  readonly leaveAfterMilliseconds?: number | undefined;
  /** Pause between the parts of a body that is sent slowly. */
  readonly pauseMilliseconds?: number | undefined;
  /** API key of a caller where the deployment has tenants; empty if it sends none. */
  readonly key?: string | undefined;
  /** `Tenant` that a caller sends although the node sets it. */
  readonly claimedTenant?: string | undefined;
  /** Closes the connection. */
  readonly signal?: AbortSignal;
}

/** How a request ended, with the answer's time to wait before a repeat. */
export interface SendOutcome {
  readonly ended: Extract<SoakOccurrence, { type: 'ended' }>;
  readonly retryAfterMilliseconds?: number;
}

type EndDetails = Partial<Pick<EventFields['ended'], 'status' | 'signed' | 'detail'>>;

const slowParts = 3;

/** Sends requests with an id of their own, and records how they ended. */
export class RequestSender {
  readonly #record: EventRecord;

  #sequence = 0;

  readonly #nestedIds: boolean;

  /** With `nestedIds`, calls of backend servers are marked as such, so that they need no key. */
  constructor(record: EventRecord, { nestedIds }: { readonly nestedIds: boolean }) {
    this.#record = record;
    this.#nestedIds = nestedIds;
  }

  async send(options: SendOptions): Promise<SendOutcome> {
    const { agent, belowRepeat, deadlineMilliseconds, key, parent, route, target } = options;
    this.#sequence += 1;
    const own = `r${this.#sequence}`;
    const id = this.#nestedIds && parent !== undefined ? `${parent}.${own}` : own;
    this.#record.add({
      type: 'sent',
      id,
      node: target.node,
      route: route.name,
      service: route.service,
      idempotent: route.idempotent,
      maxAttempts: route.maxAttempts,
      deadlineMilliseconds,
      timeoutMilliseconds: options.timeoutMilliseconds,
      ...(parent === undefined ? {} : { parent }),
      ...(belowRepeat === true ? { belowRepeat } : {}),
      ...(key === undefined ? {} : { key }),
      ...(options.leaveAfterMilliseconds === undefined ? {} : { abandoned: true }),
    });
    const outgoing = request({
      host: loopback,
      port: target.port,
      agent: agent ?? false,
      method: route.method,
      path: `/${route.name}/${this.#sequence}`,
      headers: {
        host: `${route.name}.example`,
        'request-id': id,
        'deadline-ms': String(Math.round(deadlineMilliseconds)),
        ...(key ? { authorization: `Bearer ${key}` } : {}),
        ...(options.claimedTenant === undefined ? {} : { tenant: options.claimedTenant }),
        ...(route.bodyBytes === 0 ? {} : { 'content-length': route.bodyBytes }),
      },
    });
    const outcome = await this.#exchange(id, outgoing, options);
    this.#record.add(outcome.ended);
    return outcome;
  }

  async #exchange(id: string, outgoing: ClientRequest, options: SendOptions): Promise<SendOutcome> {
    const { deadlineMilliseconds, leaveAfterMilliseconds, signal, target } = options;
    let sentAt: number | undefined;
    return new Promise((resolve) => {
      const settled = new AbortController();
      const settle = (end: RequestEnd, details: EndDetails = {}, retryAfter?: number) => {
        if (settled.signal.aborted) return;
        settled.abort();
        const kept = outgoing.reusedSocket;
        const sent = sentAt === undefined ? {} : { sentAt };
        resolve({
          ended: { type: 'ended', id, node: target.node, end, kept, ...sent, ...details },
          ...(retryAfter === undefined ? {} : { retryAfterMilliseconds: retryAfter }),
        });
      };
      const leave = () => {
        settle(RequestEnd.left);
        outgoing.destroy();
      };
      const limit = Math.min(deadlineMilliseconds, leaveAfterMilliseconds ?? deadlineMilliseconds);
      const timer = setTimeout(leave, limit);
      signal?.addEventListener('abort', leave, { once: true, signal: settled.signal });
      settled.signal.addEventListener('abort', () => clearTimeout(timer), { once: true });
      outgoing.once('finish', () => {
        sentAt = this.#record.now;
      });
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        const refused = error.syscall === 'connect';
        settle(refused ? RequestEnd.notConnected : RequestEnd.closed, {
          detail: error.code ?? error.message,
        });
      });
      outgoing.once('response', (answer) => {
        // An answer that breaks off also reports an error.
        answer.on('error', () => {});
        answer.resume();
        answer.once('close', () => {
          if (answer.complete) settle(RequestEnd.answered, describe(answer), retryAfterOf(answer));
          else settle(RequestEnd.closed, { detail: 'the answer broke off' });
        });
      });
      sendBody(outgoing, options).catch(() => {});
    });
  }
}

function describe({ headers, statusCode = 0 }: IncomingMessage): EndDetails {
  return { status: statusCode, signed: headers['response-signature'] !== undefined };
}

function retryAfterOf({ headers }: IncomingMessage): number | undefined {
  const seconds = Number(headers['retry-after']);
  return Number.isNaN(seconds) ? undefined : seconds * 1000;
}

async function sendBody(outgoing: ClientRequest, options: SendOptions): Promise<void> {
  const { pauseMilliseconds, route } = options;
  const body = Buffer.alloc(route.bodyBytes, 'b');
  if (pauseMilliseconds === undefined || body.length === 0) {
    outgoing.end(body.length === 0 ? undefined : body);
    return;
  }
  const size = Math.ceil(body.length / slowParts);
  for (let offset = 0; offset < body.length && !outgoing.destroyed; offset += size) {
    outgoing.write(body.subarray(offset, offset + size));
    await sleep(pauseMilliseconds);
  }
  if (!outgoing.destroyed) outgoing.end();
}
