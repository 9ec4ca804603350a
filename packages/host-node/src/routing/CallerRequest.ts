import type { AnswerBody, RequestBody } from '@hickorybridge/peer-protocol';
import type { AnswerHead, HeaderList, Route, Tenant } from '@hickorybridge/types';

/** A request from a caller on this host, with its route. */
export interface CallerRequest {
  readonly requestId: string;
  readonly route: Route;
  readonly service: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  /** The headers that are forwarded. */
  readonly headers: HeaderList;
  readonly body: RequestBody;
  readonly arrivedAt: number;
  /** Until when an answer is within the latency target of the route, in monotonic milliseconds. */
  readonly usefulUntil: number;
  /** The latest time at which the caller gets an answer, in monotonic milliseconds. */
  readonly deadline: number;
  /** When the caller times out, in monotonic milliseconds. */
  readonly callerDeadline: number;
  /** 1 for a call that a backend server makes while it runs a request, otherwise 0. */
  readonly depth: number;
  /** Whether it is a nested call of a run that repeats another one, so that it is a repeat itself. */
  readonly isBelowRepeat?: boolean;
  /** Tenant that holds the caller's API key; absent without a key and for nested calls. */
  readonly tenant?: Tenant;
  /** Regions whose backend servers may get the request; absent if all may. */
  readonly allowedRegions?: readonly string[];
  /** Aborted when the caller disconnects, or with the reason `stopping` when this node ends. */
  readonly signal: AbortSignal;
}

/** Why a request was not answered; the values are also used in metric labels and logs. */
export const FailureReason = {
  noConfiguration: 'no-configuration',
  noRoute: 'no-route',
  stopping: 'stopping',
  noBackendServer: 'no-backend-server',
  overloaded: 'overloaded',
  timeout: 'timeout',
  connectionLost: 'connection-lost',
  callerLeft: 'caller-left',
  nodeFault: 'node-fault',
  badRequest: 'bad-request',
  unauthorized: 'unauthorized',
  overQuota: 'over-quota',
  bodyTooLarge: 'body-too-large',
  headersTooLarge: 'headers-too-large',
  headersTimeout: 'headers-timeout',
} as const;

export type FailureReason = (typeof FailureReason)[keyof typeof FailureReason];

/** The result that is sent to the caller. */
export type CallerOutcome =
  | { readonly type: 'answered'; readonly head: AnswerHead; readonly body: AnswerBody }
  | {
      readonly type: 'failed';
      readonly reason: FailureReason;
      /** Whether the request may have run. */
      readonly mayHaveRun: boolean;
      readonly detail: string;
      /** Suggested delay before a retry; only set when the request has not run. */
      readonly returnMilliseconds?: number;
    };
