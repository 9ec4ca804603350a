import type { AnswerHead, LoadReport, RefusalReason, RequestHead } from '@hickorybridge/types';

import type { AnswerBody } from './AnswerBody.js';
import type { StreamedBody } from './StreamedBody.js';

/** The body of a request. A buffered body can be sent again; a stream only until it is taken. */
export type RequestBody =
  | { readonly type: 'none' }
  | { readonly type: 'buffered'; readonly data: Buffer }
  | { readonly type: 'stream'; readonly source: StreamedBody };

/** Whether a request with this body can be sent, for the first time or again. */
export function canSendBody(body: RequestBody): boolean {
  return body.type !== 'stream' || body.source.available;
}

/** Why it is not known whether a request ran. */
export const LossCause = {
  /** A connection broke, or a peer stopped answering. */
  connection: 'connection',
  /** The deadline passed while the request ran. */
  deadline: 'deadline',
} as const;

export type LossCause = (typeof LossCause)[keyof typeof LossCause];

/** How the execution of a request at a backend server's node ended. */
export type ExecutionOutcome =
  | {
      readonly type: 'answered';
      readonly head: AnswerHead;
      readonly report: LoadReport;
      readonly body: AnswerBody;
    }
  /** The request surely did not run. */
  | {
      readonly type: 'refused';
      readonly reason: RefusalReason;
      readonly report: LoadReport | undefined;
    }
  /** The request may have run. */
  | { readonly type: 'lost'; readonly cause: LossCause; readonly detail: string };

/** Runs requests at a backend server: at the own host, or at a peer over its connection. */
export interface RequestExecutor {
  /** An abort of the signal cancels; the outcome then says whether the request may have run. */
  execute(head: RequestHead, body: RequestBody, signal: AbortSignal): Promise<ExecutionOutcome>;
}
