import type { EvictionReason } from './ConnectionAccount.js';

/** A connection as the account sees it. */
export interface AccountedConnection {
  /** Whether a request runs that the node has read. Such a connection does not make room. */
  readonly isBusy: boolean;
  /** Whether the node waits for the rest of a body that occupies a backend server. */
  readonly awaitsBody: boolean;
  /** Updates what the connection holds; called about twice a second. */
  sample?(): void;
  close(reason: EvictionReason): void;
}

/** What a share needs from its account. */
export interface ShareHolder {
  readonly mayReadAhead: boolean;
  now(): number;
  add(share: ConnectionShare, bytes: number): void;
  addWaitingRequests(count: number): void;
  remove(share: ConnectionShare): void;
}

/** The part of the account that belongs to one connection. */
export class ConnectionShare {
  readonly listener: string;

  readonly connection: AccountedConnection;

  heldBytes = 0;

  /** Bytes transferred lately, in both directions. */
  recentBytes = 0;

  receivedSinceTick = 0;

  ticksWithoutProgress = 0;

  transferredAt: number;

  readonly #account: ShareHolder;

  #waitingRequests = 0;

  constructor(
    account: ShareHolder,
    listener: string,
    connection: AccountedConnection,
    now: number,
  ) {
    this.#account = account;
    this.listener = listener;
    this.connection = connection;
    this.transferredAt = now;
  }

  /** Sets the bytes that are held for the connection. May close this or other connections. */
  hold(bytes: number): void {
    const difference = bytes - this.heldBytes;
    if (difference === 0) return;
    this.heldBytes = bytes;
    this.#account.add(this, difference);
  }

  /** Sets how many requests of the connection are open beyond the first. */
  setWaitingRequests(count: number): void {
    this.#account.addWaitingRequests(count - this.#waitingRequests);
    this.#waitingRequests = count;
  }

  /** Whether the account has room for requests that wait for earlier ones. */
  get mayReadAhead(): boolean {
    return this.#account.mayReadAhead;
  }

  recordReceived(bytes: number): void {
    this.receivedSinceTick += bytes;
    this.recordSent(bytes);
  }

  recordSent(bytes: number): void {
    this.recentBytes += bytes;
    this.transferredAt = this.#account.now();
  }

  /** Ends the share when the connection is closed. */
  release(): void {
    this.setWaitingRequests(0);
    this.#account.remove(this);
  }
}
