import type { AnswerBody, RequestBody } from '@hickorybridge/peer-protocol';
import type { AnswerHead, HeaderList, Route } from '@hickorybridge/types';

/** A request of a caller on this host, with its route. */
export interface CallerRequest {
  readonly requestId: string;
  readonly route: Route;
  readonly service: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  /** The headers that are passed on. */
  readonly headers: HeaderList;
  readonly body: RequestBody;
  readonly arrivedAt: number;
  /** Until when an answer is fully useful to the caller, in monotonic milliseconds. */
  readonly usefulUntil: number;
  /** When the caller is answered at the latest, in monotonic milliseconds. */
  readonly deadline: number;
  /** When the caller gives up, in monotonic milliseconds. */
  readonly callerDeadline: number;
  /** 1 for a call that a backend server makes while it runs a request, otherwise 0. */
  readonly depth: number;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
}

/** Why a request was not answered; also the label of the metrics and the logs. */
export const FailureReason = {
  noConfiguration: 'no-configuration',
  noRoute: 'no-route',
  stopping: 'stopping',
  noBackendServer: 'no-backend-server',
  overloaded: 'overloaded',
  timeout: 'timeout',
  connectionLost: 'connection-lost',
  callerLeft: 'caller-left',
  badRequest: 'bad-request',
  bodyTooLarge: 'body-too-large',
  headersTooLarge: 'headers-too-large',
} as const;

export type FailureReason = (typeof FailureReason)[keyof typeof FailureReason];

/** What a caller is told. */
export type CallerOutcome =
  | { readonly type: 'answered'; readonly head: AnswerHead; readonly body: AnswerBody }
  | {
      readonly type: 'failed';
      readonly reason: FailureReason;
      /** Whether the request may have run. */
      readonly mayHaveRun: boolean;
      readonly detail: string;
      /** When to come back, in milliseconds; only when the request has not run. */
      readonly returnMilliseconds?: number;
    };
