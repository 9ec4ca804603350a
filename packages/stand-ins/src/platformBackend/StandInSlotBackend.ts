import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import { buffer } from 'node:stream/consumers';

import { SlotPool } from '../backendServer/SlotPool.js';
import { closeHttp, listenHttp, type ListenOptions } from '../httpListener.js';

/** A request that has reached a backend server. */
export interface BackendArrival {
  readonly requestId: string;
  readonly path: string;
  readonly headers: Readonly<IncomingHttpHeaders>;
  readonly accepted: boolean;
  /** `Deadline-Ms` as received. */
  readonly deadlineMilliseconds: number | undefined;
}

/** How a run ended: answered, dropped by the other side, broken off here, or never begun. */
export type BackendRunEnd = 'answered' | 'dropped' | 'broke-off' | 'not-executed';

/** What one run has to do. */
export interface BackendRun extends BackendArrival {
  /** Aborted when the connection closes or the deadline passes. */
  readonly signal: AbortSignal;
  /** Time left of the deadline, in milliseconds. */
  readonly leftMilliseconds: number;
}

/** Does the work of runs and sees what a backend server receives. */
export interface BackendService {
  arrived(arrival: BackendArrival): void;
  /** Does the work of one run and gives the status of its answer. */
  run(run: BackendRun): Promise<number>;
  runEnded(requestId: string, end: BackendRunEnd): void;
}

/** Properties of a backend server with slots. */
export interface SlotBackendOptions {
  readonly id: string;
  readonly slots: number;
  readonly queueLength: number;
  readonly service: BackendService;
}

const idleMilliseconds = 10_000;
const usualDeadlineMilliseconds = 30_000;
const answerBytes = 1500;

/** Stand-in for a backend server of the platform that runs a few requests at a time. */
export class StandInSlotBackend implements AsyncDisposable {
  readonly id: string;

  /** Share of runs that fail with 500. */
  failureShare = 0;

  /** Share of runs whose connection is closed without an answer. */
  breakOffShare = 0;

  /** Share of requests that are rejected without a run although there is room. */
  shedShare = 0;

  draining = false;

  readonly #options: SlotBackendOptions;

  readonly #slots: SlotPool;

  #slotCount: number;

  #server: Server | undefined;

  /** `random` gives numbers from 0 to 1 for the shares above. */
  constructor(
    options: SlotBackendOptions,
    private readonly random: () => number,
  ) {
    this.id = options.id;
    this.#options = options;
    this.#slotCount = options.slots;
    this.#slots = new SlotPool(options.slots);
  }

  async start(options: ListenOptions): Promise<void> {
    this.#server = await listenHttp(
      (request, response) => this.#handle(request, response),
      options,
    );
    this.#server.keepAliveTimeout = idleMilliseconds;
  }

  resize(slots: number): void {
    this.#slotCount = slots;
    this.#slots.resize(slots);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#server !== undefined) await closeHttp(this.#server);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const closed = new AbortController();
    response.once('close', () => closed.abort());
    if (request.url === '/healthz') {
      request.resume();
      response.writeHead(this.draining ? 503 : 200, { ...this.#headers(), 'content-length': 0 });
      response.end();
      return;
    }
    const requestId = String(request.headers['request-id'] ?? '');
    await buffer(request);
    const receivedAt = performance.now();
    const refusal = this.#refusalOf(request, requestId);
    const deadline = request.headers['deadline-ms'];
    const arrival = {
      requestId,
      path: request.url ?? '/',
      headers: request.headers,
      accepted: refusal === undefined,
      deadlineMilliseconds: deadline === undefined ? undefined : Number(deadline),
    };
    this.#options.service.arrived(arrival);
    if (refusal !== undefined) {
      this.#reject(response, refusal, requestId);
      return;
    }
    const limit = arrival.deadlineMilliseconds ?? usualDeadlineMilliseconds;
    const expired = AbortSignal.timeout(Math.max(1, Math.round(limit)));
    const signal = AbortSignal.any([closed.signal, expired]);
    if (!(await this.#slots.acquire(signal))) {
      if (!response.destroyed) this.#reject(response, 503, requestId);
      this.#options.service.runEnded(requestId, 'not-executed');
      return;
    }
    try {
      const leftMilliseconds = limit - (performance.now() - receivedAt);
      await this.#run({ ...arrival, signal, leftMilliseconds }, response);
    } finally {
      this.#slots.release();
    }
  }

  #refusalOf(request: IncomingMessage, requestId: string): number | undefined {
    if (requestId === '') return 400;
    if ((request.headers['target-instance'] ?? this.id) !== this.id) return 421;
    if (this.random() < this.shedShare) return 503;
    const full = this.#slots.used >= this.#slotCount;
    return full && this.#slots.queued >= this.#options.queueLength ? 503 : undefined;
  }

  async #run(run: BackendRun, response: ServerResponse): Promise<void> {
    const { requestId, signal } = run;
    const { service } = this.#options;
    const broken = this.random() < this.breakOffShare;
    const failed = this.random() < this.failureShare;
    const status = await service.run(run);
    if (broken && !response.destroyed) {
      service.runEnded(requestId, 'broke-off');
      response.destroy();
      return;
    }
    if (response.destroyed) {
      service.runEnded(requestId, 'dropped');
      return;
    }
    service.runEnded(requestId, 'answered');
    const answered = signal.aborted ? 504 : status;
    const text = `answer of ${this.id} to ${requestId} `.padEnd(answerBytes, '.');
    response.writeHead(failed ? 500 : answered, {
      ...this.#headers(),
      'request-id': requestId,
      'response-signature': `${this.id}.${requestId}`,
      'content-length': text.length,
      ...(this.draining ? { connection: 'close' } : {}),
    });
    response.end(text);
  }

  #reject(response: ServerResponse, status: number, requestId: string): void {
    response.writeHead(status, {
      ...this.#headers(),
      'request-id': requestId,
      'not-executed': '1',
      'content-length': 0,
    });
    response.end();
  }

  #headers(): Record<string, string> {
    return {
      'instance-id': this.id,
      'server-load': `${this.#slots.used},${this.#slots.queued},${this.#slotCount},100`,
    };
  }
}
