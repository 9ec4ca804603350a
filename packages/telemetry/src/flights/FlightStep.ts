import type { Location, Outcome, ProblemName, RefusalReason } from '@hickorybridge/types';

/** What happened to a request at one node. */
export type FlightEvent =
  /** An idempotency key was claimed, or why it was not. */
  | { readonly type: 'claim'; readonly result: string }
  /** The router sent the request to a backend server. */
  | (Location & {
      readonly type: 'try';
      readonly backendServerId: string;
      readonly nodeId: string;
      readonly hedged: boolean;
    })
  /** Admission let the request through to its backend server. */
  | { readonly type: 'admitted'; readonly backendServerId: string }
  /** Admission refused the request: it did not run there. */
  | {
      readonly type: 'refused';
      readonly backendServerId: string;
      readonly reason: RefusalReason;
    }
  /** The try ended without an answer or a refusal. */
  | {
      readonly type: 'lost';
      readonly backendServerId: string;
      readonly mayHaveRun: boolean;
      readonly detail: string;
    }
  | { readonly type: 'answered'; readonly backendServerId: string; readonly status: number }
  | { readonly type: 'cancelled'; readonly reason: string };

/** An event and when it happened, in milliseconds since the request arrived at the node. */
export type FlightStep = FlightEvent & { readonly atMilliseconds: number };

/** How a request ended at this node. */
export interface FlightEnd {
  readonly outcome: Outcome;
  readonly problem?: ProblemName | undefined;
  readonly detail?: string | undefined;
  readonly milliseconds: number;
}

/** What a node remembers of a request, as `explain` shows it. */
export interface FlightExplanation {
  readonly requestId: string;
  readonly nodeId: string;
  /** `router` for a caller's request, `admission` for one that another node sent. */
  readonly side: 'router' | 'admission';
  readonly service: string;
  readonly kind: string;
  /** Wall-clock time of the arrival, milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly steps: readonly FlightStep[];
  /** Steps that were left out because there were too many. */
  readonly droppedSteps: number;
  /** Absent while the request is open. */
  readonly end?: FlightEnd | undefined;
}
