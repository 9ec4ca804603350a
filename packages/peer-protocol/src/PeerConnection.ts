import type { Logger } from '@hickorybridge/logger';
import {
  Distance,
  fail,
  succeed,
  type ControlCallError,
  type ControlHandler,
  type LoadReport,
  type Location,
  type NodeIdentity,
  type RequestHead,
  type Result,
} from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { ControlBudget } from './ControlBudget.js';
import {
  BodyMode,
  FrameType,
  loadRequestFrameVersion,
  type Frame,
  type OpenFrame,
} from './frame.js';
import type { FrameSocket } from './FrameSocket.js';
import { IncomingStream } from './IncomingStream.js';
import { OutgoingStream, type StreamConnection } from './OutgoingStream.js';
import type { PeerIntroduction } from './performHandshake.js';
import { TrafficClass, trafficClassOf, type PeerTraffic } from './PeerTraffic.js';
import type { ExecutionOutcome, RequestBody, RequestExecutor } from './RequestExecutor.js';

// A timer that fires later than this after the previous one shows that this process stood still.
const maxTicksBetween = 2;
// A cancelled request is confirmed by the peer; a peer that does not is taken as lost.
const cancelConfirmationMilliseconds = 1000;

/** When a connection is found to be silent, in milliseconds. */
export interface PeerLiveness {
  /** Silence after which a heartbeat is sent while something waits for the peer. */
  readonly heartbeatWhenWaitingMilliseconds: number;
  readonly heartbeatWhenIdleMilliseconds: number;
  /**
   * Time without a reply to a heartbeat after which the peer counts as silent: the connection takes
   * no new requests, and idempotent ones that were sent to it are given up, so that they can run
   * elsewhere. Those that the peer has sent run on, because it may only be late.
   */
  readonly silenceLimitMilliseconds: number;
  /**
   * Time without a reply after which the connection is closed. Until then non-idempotent requests
   * wait, because their answers still come if the peer was only paused or cut off for a moment.
   */
  readonly closeAfterMilliseconds: number;
  /** How often the connection is looked at. */
  readonly tickMilliseconds: number;
}

/** For links between regions whose peers may pause for seconds. */
export const patientLiveness: PeerLiveness = {
  heartbeatWhenWaitingMilliseconds: 1000,
  heartbeatWhenIdleMilliseconds: 20_000,
  silenceLimitMilliseconds: 4000,
  closeAfterMilliseconds: 4000,
  tickMilliseconds: 500,
};

/** What a connection needs besides its socket. */
export interface PeerConnectionOptions {
  readonly socket: FrameSocket;
  readonly introduction: PeerIntroduction;
  /** The dialling side uses odd numbers for its streams, the accepting side even ones. */
  readonly dialled: boolean;
  readonly distance: Distance;
  readonly executor: RequestExecutor;
  readonly handlers: ReadonlyMap<string, ControlHandler>;
  readonly traffic: PeerTraffic;
  readonly budget: ControlBudget;
  /** Calls whose names start so belong to requests and not to control. */
  readonly requestCallPrefix: string;
  readonly liveness: PeerLiveness;
  /** Load that the peer is told when it asks. */
  readonly localLoad: () => LoadReport | undefined;
  /** Takes the load that the peer reports. */
  readonly onLoad: (report: LoadReport) => void;
  /** Whether idempotent requests wait for a silent peer, too, instead of running elsewhere. */
  readonly waitsForSilentPeer: () => boolean;
  /** Called when the peer becomes silent. */
  readonly onSilent: () => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface PendingCall {
  readonly resolve: (reply: Result<unknown, ControlCallError>) => void;
  readonly timer: NodeJS.Timeout;
}

/** One connection with a peer. `run` is its task; it ends when the connection is closed. */
export class PeerConnection implements RequestExecutor, StreamConnection, AsyncDisposable {
  readonly identity: NodeIdentity;

  readonly location: Location;

  /** Frames for streams that are finished or were never opened. */
  droppedFrames = 0;

  readonly #options: PeerConnectionOptions;

  readonly #outgoing = new Map<number, OutgoingStream>();

  readonly #incoming = new Map<number, IncomingStream>();

  readonly #calls = new Map<number, PendingCall>();

  #nextStream: number;

  #highestIncomingStream = 0;

  #nextCall = 1;

  #lastReceivedAt: number;

  #lastTickAt: number;

  /** When the oldest heartbeat without a reply was sent. */
  #heartbeatSentAt: number | undefined;

  #silent = false;

  constructor(options: PeerConnectionOptions) {
    this.#options = options;
    this.identity = options.introduction.identity;
    this.location = options.introduction.location;
    this.#nextStream = options.dialled ? 1 : 2;
    this.#lastReceivedAt = options.clock.now();
    this.#lastTickAt = this.#lastReceivedAt;
  }

  /** Whether this side has dialled. */
  get dialled(): boolean {
    return this.#options.dialled;
  }

  /** Time since the last byte of the peer, in milliseconds. */
  get silentMilliseconds(): number {
    return this.#options.clock.now() - this.#lastReceivedAt;
  }

  get closed(): boolean {
    return this.#options.socket.closed;
  }

  /** Whether the peer has not answered for so long that no new request should be sent to it. */
  get silent(): boolean {
    return this.#silent;
  }

  /** Streams and calls that wait for the peer, and requests of the peer that run here. */
  get outstanding(): number {
    return this.#outgoing.size + this.#incoming.size + this.#calls.size;
  }

  /** Requests of the peer whose answers are not sent completely yet. */
  get runningRequests(): number {
    return this.#incoming.size;
  }

  /** Reads frames until the connection ends, then ends everything that depended on it. */
  async run(): Promise<string> {
    // The handshake may have been slow, and deadlines would be translated too early.
    this.#sendHeartbeat(this.#options.clock.now());
    const reason = await this.#readFrames();
    this.#options.socket.destroy();
    this.#failEverything(reason);
    return reason;
  }

  async execute(
    head: RequestHead,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<ExecutionOutcome> {
    if (this.closed || signal.aborted) {
      const reason = signal.aborted ? 'cancelled' : 'not-sent';
      return { type: 'refused', reason, report: undefined };
    }
    const number = this.#nextStream;
    this.#nextStream += 2;
    const stream = new OutgoingStream(this, number, head.idempotent);
    this.#outgoing.set(number, stream);
    try {
      const { clock } = this.#options;
      this.send({ ...createOpenFrame(number, head, body), clock: clock.now() });
    } catch (error) {
      // A frame is encoded before any of it is written.
      this.#outgoing.delete(number);
      this.#logFault(error);
      return { type: 'refused', reason: 'not-sent', report: undefined };
    }
    if (body.type === 'stream') stream.sendRequestBody(body.source);
    const onAbort = () => cancelAndConfirm(stream);
    signal.addEventListener('abort', onAbort, { once: true });
    const outcome = await stream.outcome;
    signal.removeEventListener('abort', onAbort);
    return outcome;
  }

  /** Sends a control call and waits for its reply. */
  async call(
    name: string,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, ControlCallError>> {
    if (this.closed) return fail({ type: 'unreachable', detail: 'the connection is closed' });
    const control = this.#classOfCall(name) === TrafficClass.control;
    if (control && !this.#options.budget.permits(name, this.#options.distance)) {
      return fail({ type: 'rejected', detail: 'the budget for control traffic is used up' });
    }
    const call = this.#nextCall;
    this.#nextCall += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => this.#settleCall(call, fail({ type: 'timeout' })),
        timeoutMilliseconds,
      );
      this.#calls.set(call, { resolve, timer });
      this.send({ type: FrameType.call, call, name, body }, this.#classOfCall(name));
    });
  }

  send(frame: Frame, trafficClass: TrafficClass = trafficClassOf(frame)): void {
    if (this.closed) return;
    const { budget, distance, socket, traffic } = this.#options;
    const bytes = socket.write(frame);
    traffic.add(distance, trafficClass, bytes);
    if (trafficClass === TrafficClass.control) budget.spend(distance, bytes);
  }

  /** Asks the peer for its load. Returns false when it would not answer. */
  requestLoad(): boolean {
    if (this.closed || this.#options.introduction.version < loadRequestFrameVersion) return false;
    this.send({ type: FrameType.loadRequest });
    return true;
  }

  /** Shortest time from a heartbeat to its reply, in milliseconds. */
  get roundTripMilliseconds(): number | undefined {
    return this.#options.introduction.clockOffset.roundTripMilliseconds;
  }

  get distance(): Distance {
    return this.#options.distance;
  }

  sendWhenWritable(frame: Frame): Promise<void> | undefined {
    this.send(frame);
    return this.#options.socket.congested ? this.#options.socket.drained() : undefined;
  }

  forget(stream: number): void {
    this.#outgoing.delete(stream);
    this.#incoming.delete(stream);
  }

  /** Sends a heartbeat when one is due, and closes the connection when the peer is silent. */
  tick(): void {
    const { liveness } = this.#options;
    const now = this.#options.clock.now();
    const stalled = now - this.#lastTickAt - maxTicksBetween * liveness.tickMilliseconds;
    this.#lastTickAt = now;
    // The reply may lie unread in the socket, so the time of a stall is no silence of the peer.
    if (stalled > 0 && this.#heartbeatSentAt !== undefined) this.#heartbeatSentAt += stalled;
    if (this.#heartbeatSentAt !== undefined) {
      const silence = now - this.#heartbeatSentAt;
      if (silence > liveness.silenceLimitMilliseconds) this.#handleSilence(silence);
      return;
    }
    const silence = now - this.#lastReceivedAt;
    const limit =
      this.outstanding > 0
        ? liveness.heartbeatWhenWaitingMilliseconds
        : liveness.heartbeatWhenIdleMilliseconds;
    if (silence < limit) return;
    this.#sendHeartbeat(now);
  }

  #sendHeartbeat(now: number): void {
    this.#heartbeatSentAt = now;
    this.send({ type: FrameType.heartbeat, clock: now });
  }

  /** Closes the connection, and waits until the peer has taken what was sent, up to a limit. */
  async [Symbol.asyncDispose](): Promise<void> {
    await this.#options.socket.end();
  }

  /** Gives up what can run elsewhere; closes the connection when nothing else waits for it. */
  #handleSilence(silenceMilliseconds: number): void {
    const { liveness, logger, onSilent, socket } = this.#options;
    if (!this.#silent) {
      this.#silent = true;
      logger.warn('peer-silent', 'peer does not answer heartbeats; using others', {
        peer: this.identity.nodeId,
        waiting: this.#outgoing.size,
        running: this.#incoming.size,
      });
      onSilent();
    }
    const detail = `node "${this.identity.nodeId}" does not answer heartbeats`;
    if (!this.#options.waitsForSilentPeer()) {
      for (const stream of [...this.#outgoing.values()]) if (stream.idempotent) stream.lost(detail);
    }
    for (const call of [...this.#calls.keys()]) {
      this.#settleCall(call, fail({ type: 'unreachable', detail }));
    }
    const isNeeded = this.outstanding > 0;
    if (!isNeeded || silenceMilliseconds > liveness.closeAfterMilliseconds) socket.destroy();
  }

  /** Any bytes show that the peer is there, even if its reply to the heartbeat is still on its way. */
  #handleSignOfLife(): void {
    if (!this.#silent) return;
    this.#silent = false;
    this.#heartbeatSentAt = undefined;
    this.#options.logger.info('peer-regained', 'peer answers again', {
      peer: this.identity.nodeId,
      waiting: this.#outgoing.size,
    });
  }

  /** Handles frames as they arrive. Resolves with the reason why the connection cannot go on. */
  #readFrames(): Promise<string> {
    const { clock, socket } = this.#options;
    return new Promise((resolve) => {
      let isEnded = false;
      const readBuffered = () => {
        this.#lastReceivedAt = clock.now();
        if (socket.closeReason === undefined) this.#handleSignOfLife();
        if (isEnded) return;
        const reason = this.#tryHandleBuffered() ?? socket.closeReason;
        if (reason === undefined) return;
        isEnded = true;
        resolve(reason);
      };
      // In a microtask, whoever waits for an answer attaches to its stream before that can fail.
      const started = Promise.resolve();
      socket.onReceive(() => {
        started.then(readBuffered);
      });
      readBuffered();
    });
  }

  /** As `#handleBuffered`. After an unexpected error the connection cannot go on either. */
  #tryHandleBuffered(): string | undefined {
    try {
      return this.#handleBuffered();
    } catch (error) {
      this.#logFault(error);
      return `a fault of this node: ${String(error)}`;
    }
  }

  #logFault(error: unknown): void {
    this.#options.logger.error('peer-fault', 'handling a frame failed unexpectedly', {
      peer: this.identity.nodeId,
      detail: error instanceof Error ? (error.stack ?? error.message) : String(error),
    });
  }

  /** Handles the complete frames. Returns the reason if the connection cannot go on. */
  #handleBuffered(): string | undefined {
    const { socket } = this.#options;
    for (;;) {
      const frame = socket.takeBuffered();
      if (!frame.ok) return this.#describeMalformed(frame.error.detail);
      if (frame.value === undefined) return undefined;
      const violation = this.#handle(frame.value);
      if (violation !== undefined) return this.#describeMalformed(violation);
    }
  }

  #describeMalformed(detail: string): string {
    this.#options.logger.warn('peer-protocol-violation', 'closing the connection with a peer', {
      peer: this.identity.nodeId,
      detail,
    });
    return detail;
  }

  /** Handles one frame. Returns what is wrong with it, if the connection cannot go on. */
  #handle(frame: Frame): string | undefined {
    // A plain switch: this runs for every frame on the request path.
    switch (frame.type) {
      case FrameType.open:
        return this.#open(frame);
      case FrameType.body:
        return this.#receiveBody(frame.stream, frame.data, frame.end);
      case FrameType.credit:
        return this.#withStream(frame.stream, (stream) => stream.addCredit(frame.bytes));
      case FrameType.answer:
        return this.#withOutgoing(frame.stream, (stream) => stream.answered(frame));
      case FrameType.refuse:
        return this.#withOutgoing(frame.stream, (stream) => stream.refused(frame));
      case FrameType.abort:
        this.#incoming.get(frame.stream)?.requestAborted(frame.detail);
        return this.#incoming.has(frame.stream)
          ? undefined
          : this.#withOutgoing(frame.stream, (stream) => stream.aborted(frame));
      case FrameType.cancel:
        this.#incoming.get(frame.stream)?.cancel();
        return undefined;
      case FrameType.heartbeat:
        this.#limitClockOffset(frame.clock);
        this.#replyToHeartbeat(frame.clock);
        return undefined;
      case FrameType.heartbeatReply:
        this.#heartbeatSentAt = undefined;
        this.#addClockSample(frame.echoedClock, frame.clock);
        return undefined;
      case FrameType.call:
        this.#answerCall(frame.call, frame.name, frame.body);
        return undefined;
      case FrameType.reply:
        this.#receiveReply(frame.call, frame.error, frame.body);
        return undefined;
      case FrameType.load:
        this.#options.onLoad(frame.report);
        return undefined;
      case FrameType.loadRequest:
        this.#tellLoad();
        return undefined;
      default:
        return `frame type ${frame.type} after the handshake`;
    }
  }

  #open(frame: OpenFrame): string | undefined {
    if (frame.stream <= this.#highestIncomingStream) {
      return `stream ${frame.stream} was used before`;
    }
    const ownParity = this.#nextStream % 2;
    if (frame.stream % 2 === ownParity) return `stream ${frame.stream} belongs to this side`;
    this.#highestIncomingStream = frame.stream;
    const { clockOffset } = this.#options.introduction;
    if (frame.clock !== undefined) this.#limitClockOffset(frame.clock);
    const deadline = clockOffset.toOwnClock(frame.head.deadline);
    const { usefulUntil: peerTime } = frame.head;
    const usefulUntil = peerTime === undefined ? undefined : clockOffset.toOwnClock(peerTime);
    const head = { ...frame.head, deadline, usefulUntil };
    const stream = new IncomingStream(this, { ...frame, head });
    this.#incoming.set(frame.stream, stream);
    stream.run(this.#options.executor);
    return undefined;
  }

  #receiveBody(number: number, data: Buffer, end: boolean): string | undefined {
    const stream = this.#outgoing.get(number) ?? this.#incoming.get(number);
    if (stream === undefined) {
      this.droppedFrames += 1;
      return undefined;
    }
    if (stream.receiveBody(data, end)) return undefined;
    return `body of stream ${number} was not expected or exceeds its credit`;
  }

  #withStream(
    number: number,
    action: (stream: OutgoingStream | IncomingStream) => void,
  ): undefined {
    const stream = this.#outgoing.get(number) ?? this.#incoming.get(number);
    if (stream === undefined) this.droppedFrames += 1;
    else action(stream);
    return undefined;
  }

  #withOutgoing(number: number, action: (stream: OutgoingStream) => void): undefined {
    const stream = this.#outgoing.get(number);
    if (stream === undefined) this.droppedFrames += 1;
    else action(stream);
    return undefined;
  }

  #tellLoad(): void {
    const report = this.#options.localLoad();
    // A peer that does not read would get the answer when it is outdated.
    if (report === undefined || this.#options.socket.congested) return;
    this.send({ type: FrameType.load, report });
  }

  #replyToHeartbeat(echoedClock: number): void {
    const clock = this.#options.clock.now();
    this.send({ type: FrameType.heartbeatReply, echoedClock, clock });
  }

  #addClockSample(sentAt: number, peerClock: number): void {
    const now = this.#options.clock.now();
    // An echoed clock from the future was not sent by this process and would extend deadlines.
    if (sentAt <= now) this.#options.introduction.clockOffset.addSample(sentAt, peerClock, now);
    this.#limitClockOffset(peerClock);
  }

  #limitClockOffset(peerClock: number): void {
    this.#options.introduction.clockOffset.limit(peerClock, this.#options.clock.now());
  }

  async #answerCall(call: number, name: string, body: unknown): Promise<void> {
    const trafficClass = this.#classOfCall(name);
    const handler = this.#options.handlers.get(name);
    if (handler === undefined) {
      const error = `control call "${name}" is not known`;
      this.send({ type: FrameType.reply, call, error, body: null });
      return;
    }
    try {
      const reply: unknown = await handler(body, this.identity);
      const frame: Frame = { type: FrameType.reply, call, error: undefined, body: reply ?? null };
      this.send(frame, trafficClass);
    } catch (error) {
      this.send({ type: FrameType.reply, call, error: String(error), body: null });
    }
  }

  #classOfCall(name: string): TrafficClass {
    const forRequest = name.startsWith(this.#options.requestCallPrefix);
    return forRequest ? TrafficClass.request : TrafficClass.control;
  }

  #receiveReply(call: number, error: string | undefined, body: unknown): void {
    const reply = error === undefined ? succeed(body) : fail({ type: 'rejected', detail: error });
    this.#settleCall(call, reply as Result<unknown, ControlCallError>);
  }

  #settleCall(call: number, reply: Result<unknown, ControlCallError>): void {
    const pending = this.#calls.get(call);
    if (pending === undefined) return;
    this.#calls.delete(call);
    clearTimeout(pending.timer);
    pending.resolve(reply);
  }

  #failEverything(reason: string): void {
    const detail = `the connection with node "${this.identity.nodeId}" ended: ${reason}`;
    for (const stream of [...this.#outgoing.values()]) stream.lost(detail);
    for (const stream of [...this.#incoming.values()]) stream.requestAborted(detail);
    for (const call of [...this.#calls.keys()]) {
      this.#settleCall(call, fail({ type: 'unreachable', detail }));
    }
  }
}

function createOpenFrame(stream: number, head: RequestHead, body: RequestBody): OpenFrame {
  const type = FrameType.open;
  switch (body.type) {
    case 'none':
      return { type, stream, head, bodyMode: BodyMode.none, body: undefined };
    case 'buffered':
      return { type, stream, head, bodyMode: BodyMode.inline, body: body.data };
    default:
      return { type, stream, head, bodyMode: BodyMode.stream, body: undefined };
  }
}

function cancelAndConfirm(stream: OutgoingStream): void {
  stream.cancel();
  const timer = setTimeout(
    () => stream.lost('the request was cancelled and the peer did not confirm it'),
    cancelConfirmationMilliseconds,
  );
  stream.outcome.then(() => clearTimeout(timer));
}
