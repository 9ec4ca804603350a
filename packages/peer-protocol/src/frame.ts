import type {
  AnswerHead,
  LoadReport,
  Location,
  NodeIdentity,
  RefusalReason,
  RequestHead,
} from '@hickorybridge/types';

/** Version of the peer protocol that this code speaks, and the oldest that it accepts. */
export const protocolVersion = 5;
export const oldestProtocolVersion = 1;

/** Largest payload of a frame, in bytes. */
export const maxFrameBytes = 256 * 1024;

/** Largest payload before the handshake is complete, in bytes. */
export const maxHandshakeFrameBytes = 4 * 1024;

/** First element of each frame on the wire. */
export const FrameType = {
  hello: 1,
  proof: 2,
  rejection: 3,
  open: 4,
  body: 5,
  credit: 6,
  answer: 7,
  refuse: 8,
  abort: 9,
  cancel: 10,
  heartbeat: 11,
  heartbeatReply: 12,
  call: 13,
  reply: 14,
  load: 15,
  loadRequest: 16,
} as const;

/** First version of the protocol whose peers answer a request for their load. */
export const loadRequestFrameVersion = 4;

/** Introduces a process to its peer. */
export interface HelloFrame {
  readonly type: typeof FrameType.hello;
  readonly version: number;
  readonly oldestVersion: number;
  readonly identity: NodeIdentity;
  readonly location: Location;
  /** Number of the deployment in effect; 0 when there is none. */
  readonly deploymentNumber: number;
  readonly nonce: Buffer;
  /** Monotonic clock of the sender, in milliseconds. */
  readonly clock: number;
  /** HMAC over the dialling side's nonce; empty in the dialling side's own hello. */
  readonly proof: Buffer;
}

/** Completes the handshake from the dialling side. */
export interface ProofFrame {
  readonly type: typeof FrameType.proof;
  readonly proof: Buffer;
  readonly clock: number;
}

/** Refuses the handshake; the connection is closed after it. */
export interface RejectionFrame {
  readonly type: typeof FrameType.rejection;
  readonly reason: string;
}

/** How the body of a request follows its head. */
export const BodyMode = { none: 0, inline: 1, stream: 2 } as const;

export interface OpenFrame {
  readonly type: typeof FrameType.open;
  readonly stream: number;
  readonly head: RequestHead;
  readonly bodyMode: (typeof BodyMode)[keyof typeof BodyMode];
  /** The whole body when the mode is `inline`. */
  readonly body: Buffer | undefined;
  /** The sender's monotonic clock; older senders leave it out. */
  readonly clock?: number | undefined;
}

export interface BodyFrame {
  readonly type: typeof FrameType.body;
  readonly stream: number;
  readonly data: Buffer;
  readonly end: boolean;
}

/** Permits the other side to send that many more bytes of body. */
export interface CreditFrame {
  readonly type: typeof FrameType.credit;
  readonly stream: number;
  readonly bytes: number;
}

export interface AnswerFrame {
  readonly type: typeof FrameType.answer;
  readonly stream: number;
  readonly head: AnswerHead;
  readonly report: LoadReport;
  /** The whole body, when it is small; otherwise body frames follow. */
  readonly body: Buffer | undefined;
}

export interface RefuseFrame {
  readonly type: typeof FrameType.refuse;
  readonly stream: number;
  readonly reason: RefusalReason;
  readonly report: LoadReport | undefined;
}

/** Ends a stream that cannot be completed. The request may have run. */
export interface AbortFrame {
  readonly type: typeof FrameType.abort;
  readonly stream: number;
  readonly detail: string;
  /** True when the deadline passed while the request ran. */
  readonly deadlinePassed: boolean;
}

export interface CancelFrame {
  readonly type: typeof FrameType.cancel;
  readonly stream: number;
}

export interface HeartbeatFrame {
  readonly type: typeof FrameType.heartbeat;
  readonly clock: number;
}

export interface HeartbeatReplyFrame {
  readonly type: typeof FrameType.heartbeatReply;
  /** The clock from the heartbeat that this replies to. */
  readonly echoedClock: number;
  readonly clock: number;
}

export interface CallFrame {
  readonly type: typeof FrameType.call;
  readonly call: number;
  readonly name: string;
  readonly body: unknown;
}

export interface ReplyFrame {
  readonly type: typeof FrameType.reply;
  readonly call: number;
  /** Why the call was rejected; `undefined` when it succeeded. */
  readonly error: string | undefined;
  readonly body: unknown;
}

/** Answers a request for the load of the sender's backend server. */
export interface LoadFrame {
  readonly type: typeof FrameType.load;
  readonly report: LoadReport;
}

/** Asks a peer for the load of its backend server; a load frame answers it, if there is one. */
export interface LoadRequestFrame {
  readonly type: typeof FrameType.loadRequest;
}

export type Frame =
  | HelloFrame
  | ProofFrame
  | RejectionFrame
  | OpenFrame
  | BodyFrame
  | CreditFrame
  | AnswerFrame
  | RefuseFrame
  | AbortFrame
  | CancelFrame
  | HeartbeatFrame
  | HeartbeatReplyFrame
  | CallFrame
  | ReplyFrame
  | LoadFrame
  | LoadRequestFrame;
