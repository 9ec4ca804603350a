import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { RandomSource } from '@hickorybridge/utils';
import { closeHttp, listenHttp, readJson, sendJson, urlOf } from '../httpListener.js';
import { Announcer } from './Announcer.js';
import { answerBody, sendAnswer } from './answer.js';
import { defaultControl } from './control.js';
import type { BackendServerControl } from './control.js';
import { RunState, preciseWallTime } from './run.js';
import type { Run, RunReport } from './run.js';
import { RunLog } from './RunLog.js';
import { coldStartFactor, drawServiceTime } from './serviceTime.js';
import { SlotPool } from './SlotPool.js';

/** Where a stand-in backend server listens and how it behaves. */
export interface BackendServerOptions {
  readonly id: string;
  readonly service: string;
  readonly host?: string;
  /** Port for requests; 0 takes a free one. */
  readonly port?: number;
  /** Port for `/control` and `/runs`; 0 takes a free one. */
  readonly controlPort?: number;
  /** Address of the node's announcements listener; without it nothing is announced. */
  readonly node?: string;
  readonly seed?: number;
  readonly control?: Partial<BackendServerControl>;
  /** File to which each run is appended when it starts and when it ends; survives a kill. */
  readonly runLog?: string;
}

/** Stand-in for a backend server: works on requests in slots and records every run. */
export class StandInBackendServer implements AsyncDisposable {
  readonly control: BackendServerControl;

  readonly runs: Run[] = [];

  readonly #runLog: RunLog | undefined;

  readonly #options: BackendServerOptions;

  readonly #slots: SlotPool;

  readonly #random: RandomSource;

  readonly #warmConnections = new WeakSet<Socket>();

  #coldStart = performance.now();

  #shed = 0;

  #lastArrival = 0;

  #announcer: Announcer | undefined;

  #requests: Server | undefined;

  #controls: Server | undefined;

  private constructor(options: BackendServerOptions) {
    this.#options = options;
    this.control = { ...defaultControl, ...options.control };
    this.#slots = new SlotPool(this.control.slots - this.control.noisySlots);
    this.#random = new RandomSource(options.seed ?? 1);
    this.#runLog = options.runLog === undefined ? undefined : new RunLog(options.runLog);
  }

  /** Starts both listeners and announces the backend server to its node. */
  static async start(options: BackendServerOptions): Promise<StandInBackendServer> {
    const server = new StandInBackendServer(options);
    await server.#listen();
    if (options.node !== undefined) server.#startAnnouncing(options.node);
    return server;
  }

  /** Base address for requests. */
  get url(): string {
    if (this.#requests === undefined) throw new Error(`${this.#options.id} is not listening`);
    return urlOf(this.#requests);
  }

  /** Base address of `/control` and `/runs`. */
  get controlUrl(): string {
    if (this.#controls === undefined) throw new Error(`${this.#options.id} is not listening`);
    return urlOf(this.#controls);
  }

  /** Changes the behaviour of the running backend server. */
  change(changes: Partial<BackendServerControl>): void {
    Object.assign(this.control, changes);
    this.#slots.resize(this.control.slots - this.control.noisySlots);
    if (this.#requests !== undefined) this.#requests.maxConnections = this.control.connections;
  }

  /** Begins a new cold start. */
  restartCold(): void {
    this.#coldStart = performance.now();
  }

  /** Leaves the node; `true` when the node confirmed that nothing is in flight. */
  async withdraw(): Promise<boolean> {
    return this.#announcer === undefined ? true : this.#announcer.withdraw();
  }

  report(): RunReport {
    return {
      backendServerId: this.#options.id,
      runs: this.runs,
      shed: this.#shed,
      lastArrival: this.#lastArrival,
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#announcer?.[Symbol.asyncDispose]();
    this.#runLog?.close();
    if (this.#requests !== undefined) await closeHttp(this.#requests);
    if (this.#controls !== undefined) await closeHttp(this.#controls);
  }

  async #listen(): Promise<void> {
    const { host = '127.0.0.1', port = 0, controlPort = 0 } = this.#options;
    this.#requests = await listenHttp((request, response) => this.#serve(request, response), {
      host,
      port,
    });
    this.#requests.maxConnections = this.control.connections;
    this.#controls = await listenHttp((request, response) => this.#steer(request, response), {
      host,
      port: controlPort,
    });
  }

  #startAnnouncing(node: string): void {
    const { address, port } = this.#requests?.address() as AddressInfo;
    this.#announcer = new Announcer({
      node,
      backendServerId: this.#options.id,
      describe: () => ({
        service: this.#options.service,
        host: address,
        port,
        slots: this.control.slots,
        connections: this.control.connections,
        rampMilliseconds: Math.max(0, Math.round(this.control.rampMilliseconds - this.#age())),
      }),
    });
    this.#announcer.start();
  }

  #age(): number {
    return performance.now() - this.#coldStart;
  }

  async #steer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const route = `${request.method} ${new URL(request.url ?? '/', 'http://control').pathname}`;
    switch (route) {
      case 'GET /runs':
        sendJson(response, this.report());
        return;
      case 'PUT /control':
        this.change(await readJson(request));
        sendJson(response, this.control);
        return;
      case 'GET /control':
        sendJson(response, this.control);
        return;
      case 'PUT /control/cold-start':
        this.change(await readJson(request));
        this.restartCold();
        await this.#announcer?.refresh();
        sendJson(response, this.control);
        return;
      case 'PUT /control/withdraw':
        sendJson(response, { confirmed: await this.withdraw() });
        return;
      case 'PUT /control/announce':
        this.#announcer?.start();
        sendJson(response, {});
        return;
      default:
        sendJson(response, { error: `no such route: ${route}` }, 404);
    }
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#lastArrival = preciseWallTime();
    const cancellation = new AbortController();
    response.once('close', () => cancellation.abort());
    await this.#warmConnection(request.socket);
    for await (const chunk of request) if (chunk === undefined) return;
    if (cancellation.signal.aborted) return;
    if (this.#mustShed()) {
      this.#refuse(response);
      return;
    }
    if (!(await this.#slots.acquire(waitingLimit(request, cancellation.signal)))) {
      if (!cancellation.signal.aborted) this.#refuse(response);
      return;
    }
    try {
      await this.#run(request, response, cancellation.signal);
    } finally {
      this.#slots.release();
    }
  }

  async #warmConnection(socket: Socket): Promise<void> {
    if (this.#warmConnections.has(socket)) return;
    this.#warmConnections.add(socket);
    if (this.control.connectMilliseconds > 0) await sleep(this.control.connectMilliseconds);
  }

  #mustShed(): boolean {
    if (this.#slots.queued >= this.control.queueLimit) return true;
    return this.control.shedShare > 0 && this.#random.next() < this.control.shedShare;
  }

  #refuse(response: ServerResponse): void {
    this.#shed += 1;
    response.writeHead(503, { 'hickorybridge-not-run': 'true' }).end();
  }

  async #run(
    request: IncomingMessage,
    response: ServerResponse,
    cancellation: AbortSignal,
  ): Promise<void> {
    const run = describeRun(request);
    const number = this.runs.push(run);
    this.#runLog?.append(number, run);
    try {
      const work = headerOf(request, 'x-work') ?? run.mark;
      const serviceTime = this.#serviceTime(work);
      // A timer waits for at least 1 ms, which would hide what is to be measured in fast calls.
      if (serviceTime > 0) await sleep(serviceTime, undefined, { signal: cancellation });
      run.state = RunState.completed;
    } catch {
      run.state = RunState.cancelled;
    }
    run.end = preciseWallTime();
    this.#runLog?.append(number, run);
    if (run.state === RunState.completed) await this.#answer(run, request, response);
  }

  #serviceTime(work: string): number {
    const drawn = drawServiceTime(this.control, this.#options.seed ?? 1, work);
    return drawn * this.control.stragglerFactor * coldStartFactor(this.control, this.#age());
  }

  async #answer(run: Run, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const bytes = Number(request.headers['x-answer-bytes'] ?? '64');
    const answer = {
      status: 200,
      headers: { 'x-mark': run.mark, 'x-backend-server': this.#options.id },
      body: answerBody(run.mark, bytes),
    };
    await sendAnswer(response, answer, this.#takeAnswerFault());
  }

  #takeAnswerFault() {
    if (this.control.answerFaultCount <= 0) return undefined;
    this.control.answerFaultCount -= 1;
    return { type: this.control.answerFault, lateMilliseconds: this.control.lateMilliseconds };
  }
}

/** A request whose deadline passes before it gets a slot is not run. */
function waitingLimit(request: IncomingMessage, cancellation: AbortSignal): AbortSignal {
  const remaining = Number(request.headers['hickorybridge-deadline-ms']);
  if (!Number.isFinite(remaining)) return cancellation;
  return AbortSignal.any([cancellation, AbortSignal.timeout(Math.max(1, Math.ceil(remaining)))]);
}

function describeRun(request: IncomingMessage): Run {
  const requestId = headerOf(request, 'hickorybridge-request-id') ?? '';
  return {
    requestId,
    idempotencyKey: headerOf(request, 'idempotency-key'),
    mark: headerOf(request, 'x-mark') ?? requestId,
    start: preciseWallTime(),
    end: undefined,
    state: RunState.running,
  };
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
