import type { ClaimRecord, StoredAnswer } from './claimRecord.js';
import type { HolderCandidate, ShardView } from './claimView.js';

/** Names of the control calls. */
export const ClaimCall = {
  claim: 'claims/claim',
  finish: 'claims/finish',
  release: 'claims/release',
  seal: 'claims/seal',
  prepare: 'claims/prepare',
  pull: 'claims/pull',
  status: 'claims/status',
} as const;

/** Asks a holder to grant a key to an attempt. Sent in the form of `claimCodec`. */
export interface ClaimMessage {
  readonly shard: number;
  readonly viewId: string;
  readonly digest: string;
  readonly attempt: string;
  readonly fingerprint: string;
}

/** A holder's reply to a claim. */
export type ClaimReply =
  | { readonly type: 'granted' }
  /** Another attempt holds the key and is not finished. */
  | { readonly type: 'claimed' }
  /** An attempt has finished; its answer is absent when it was too large or never came. */
  | { readonly type: 'finished'; readonly answer?: StoredAnswer | undefined }
  | { readonly type: 'key-reuse' }
  /** The holder does not act in this view; `current` is the newest entry that it knows. */
  | { readonly type: 'inactive'; readonly current?: ShardView | undefined }
  /** There is no record, but a record of this key may have been lost. */
  | { readonly type: 'history-incomplete' }
  /** The holder's memory for records is used up. */
  | { readonly type: 'full' }
  | { readonly type: 'malformed' };

/** Tells a holder that the granted attempt has ended. */
export interface FinishMessage {
  readonly shard: number;
  readonly viewId: string;
  readonly digest: string;
  readonly attempt: string;
  readonly fingerprint: string;
  readonly answer?: StoredAnswer | undefined;
}

/** Tells a holder that the attempt did not run and never will. */
export interface ReleaseMessage {
  readonly shard: number;
  readonly viewId: string;
  readonly digest: string;
  readonly attempt: string;
}

/** Reply to finish and release. */
export type RecordReply =
  | { readonly type: 'stored' }
  | { readonly type: 'malformed' }
  | { readonly type: 'inactive'; readonly current?: ShardView | undefined };

/** Asks a holder to grant nothing more in this view and earlier ones. */
export interface SealMessage {
  readonly shard: number;
  readonly viewNumber: number;
  readonly viewId: string;
}

/** Reply to a seal. */
export interface SealReply {
  /** Whether this process holds the complete records of the view. */
  readonly complete: boolean;
  readonly incarnation: number;
}

/** Where the history of a new view comes from. */
export const History = {
  /** No view existed before, so no record can be missing. */
  first: 'first',
  /** From a quorum of the holders of the former view. */
  collected: 'collected',
  /** Fewer than a quorum of the former holders were left. */
  lost: 'lost',
} as const;

export type History = (typeof History)[keyof typeof History];

/** Asks a node to get ready for a view: to pull the records of the former view. */
export interface PrepareMessage {
  readonly shard: number;
  readonly viewNumber: number;
  readonly viewId: string;
  readonly incarnation: number;
  readonly history: History;
  /** Name of the former view; absent for the first. */
  readonly formerViewId?: string | undefined;
  readonly sources: readonly HolderCandidate[];
}

/** Reply to a prepare, which the keeper repeats until it is `ready`. */
export type PrepareReply =
  | { readonly type: 'ready' }
  | { readonly type: 'in-progress' }
  | { readonly type: 'failed'; readonly detail: string };

/** Asks a sealed holder for records. */
export interface PullMessage {
  readonly shard: number;
  readonly viewId: string;
  readonly cursor: number;
}

/** A record as it is transferred: with its age in place of its creation time. */
export interface TransferredRecord extends Omit<ClaimRecord, 'createdAt'> {
  readonly digest: string;
  /** Milliseconds since the record was made. */
  readonly age: number;
}

/** A page of records. */
export type PullReply =
  | {
      readonly type: 'page';
      readonly records: readonly TransferredRecord[];
      /** Cursor of the next page; absent on the last. */
      readonly next?: number | undefined;
      /** Milliseconds since the start of the complete history. */
      readonly historyAge: number;
    }
  | { readonly type: 'no-history' };

/** State of one shard at a holder. */
export interface ShardStatus {
  readonly shard: number;
  /** Names of the views for which this process holds complete records. */
  readonly viewIds: readonly string[];
  /** Highest number of a sealed view. */
  readonly sealedThrough: number;
}

/** Reply to a status call. */
export interface StatusReply {
  readonly incarnation: number;
  readonly shards: readonly ShardStatus[];
}
