import type { RequestKind, Service } from '@hickorybridge/configuration';
import type { AnswerBody, RequestBody } from '@hickorybridge/peer-protocol';
import type { FlightRecord } from '@hickorybridge/telemetry';
import type { AnswerHead, HeaderList, Outcome, ProblemName } from '@hickorybridge/types';

/** A caller's request after it was matched with the deployment in effect. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly service: Service;
  readonly kind: RequestKind;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: RequestBody;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  readonly depth: number;
  /** Tries that are permitted to this request and the calls below it. */
  readonly attempts: number;
  readonly idempotencyKey: string | undefined;
  readonly traceparent: string | undefined;
  /** Aborts when the caller has gone away. */
  readonly signal: AbortSignal;
  /** Record of the request's steps, for `explain`. */
  readonly flight: FlightRecord;
}

/** What the caller is told. */
export type RoutedOutcome =
  | {
      readonly type: 'answered';
      readonly head: AnswerHead;
      readonly body: AnswerBody;
      /** True for the stored answer of an earlier request with the same idempotency key. */
      readonly replayed: boolean;
    }
  | RoutedFailure;

export interface RoutedFailure {
  readonly type: 'failed';
  readonly problem: ProblemName;
  readonly outcome: Exclude<Outcome, 'answered'>;
  readonly detail: string;
}

/** Makes the outcome of a request that brought no answer. */
export function failed(
  problem: ProblemName,
  outcome: RoutedFailure['outcome'],
  detail: string,
): RoutedFailure {
  return { type: 'failed', problem, outcome, detail };
}
