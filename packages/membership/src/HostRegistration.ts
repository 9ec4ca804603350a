import type { Logger } from '@hickorybridge/logger';
import type { RemovingStore, StoredObject, WriteOutcome } from '@hickorybridge/store';
import type { HostEntry } from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';

import type { ListedEntry } from './HostDirectory.js';
import { decodeHostEntry, encodeHostEntry, hostKey } from './hostEntryCodec.js';

/** What the registration of this host needs. */
export interface HostRegistrationOptions {
  readonly nodeId: string;
  readonly store: RemovingStore;
  /** Called with an entry of this host that the node did not know of, before it is overwritten. */
  readonly onFound: (entry: HostEntry) => void;
  /** Called once the store was asked for the entry itself after the start of the node. */
  readonly onRead: (wasRegistered: boolean) => void;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

const firstRetryMilliseconds = 100;
const longestRetryMilliseconds = 1000;

/** Keeps this host's entry in the store equal to what the node knows. Writes only changes. */
export class HostRegistration {
  readonly #options: HostRegistrationOptions;

  /** What the store should hold; `undefined` for no entry. */
  #wanted: HostEntry | undefined;

  /** A node that was just started does not know yet what its host offers, and leaves the entry. */
  #isDecided = false;

  /** Whether the store was asked for the entry itself since the start of the node. */
  #isRead = false;

  /** What it was last seen to hold: the text and its version. */
  #written: { readonly text: string | undefined; readonly version: number } | undefined;

  /** Whether the first write created the entry; `undefined` before that write. */
  #created: boolean | undefined;

  /** Since when the store does not hold what it should, in monotonic milliseconds. */
  #pendingSince: number | undefined;

  /** Writes since then. */
  #attempts = 0;

  readonly #waiters = new Set<() => void>();

  #wake = new AbortController();

  constructor(options: HostRegistrationOptions) {
    this.#options = options;
  }

  /** Whether this host was not registered before; false while that is not known. */
  get isNew(): boolean {
    return this.#created ?? false;
  }

  /** Whether the store holds the entry, as far as this node knows. */
  get isCurrent(): boolean {
    if (!this.#isDecided) return true;
    if (!this.#isRead) return false;
    const wanted = this.#wantedText();
    if (this.#written === undefined) return wanted === undefined;
    return this.#written.text === wanted;
  }

  /** The entry that the store was last seen to hold; `undefined` if that is none or not known. */
  get stored(): HostEntry | undefined {
    const text = this.#written?.text;
    return text === undefined ? undefined : decodeHostEntry(text);
  }

  /** For how long the store has not held the entry, in milliseconds; 0 if it does. */
  get pendingMilliseconds(): number {
    const since = this.#pendingSince;
    return since === undefined ? 0 : this.#options.clock.now() - since;
  }

  /** Changes the entry. The write follows in the background. */
  set(entry: HostEntry | undefined): void {
    this.#wanted = entry;
    this.#isDecided = true;
    this.#update();
    this.#wake.abort();
  }

  /** Waits until the store holds the entry, but not longer than the limit. */
  async waitUntilCurrent(limitMilliseconds: number): Promise<void> {
    if (this.isCurrent && this.#isRead) return;
    const limit = new AbortController();
    const waiter = () => limit.abort();
    this.#waiters.add(waiter);
    await this.#options.clock.sleep(limitMilliseconds, limit.signal);
    this.#waiters.delete(waiter);
  }

  /**
   * Takes in what a list of the store shows. An entry that another node has removed or overwritten
   * is restored. A stale list may show an older entry than is known, or none yet.
   */
  seen({ entry, revision, version }: ListedEntry): void {
    const known = this.#written?.version ?? 0;
    if (version > 0 ? version < known : revision < known) return;
    const text = entry === undefined ? undefined : encodeHostEntry(entry);
    this.#written = { text, version };
    this.#update();
    if (text !== this.#wantedText()) this.#wake.abort();
  }

  /** Reads the entry, and then writes changes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await this.#readUntilAnswered(signal);
    let delay = firstRetryMilliseconds;
    while (!signal.aborted) {
      if (this.isCurrent) {
        await this.#sleepUntilWoken(signal);
        delay = firstRetryMilliseconds;
        continue;
      }
      if (await this.#write()) continue;
      delay = await this.#backOff(delay, signal);
    }
  }

  /** Reads the entry itself: the list may be older than what a former process of this host wrote. */
  async #readUntilAnswered(signal: AbortSignal): Promise<void> {
    const { logger, nodeId, store } = this.#options;
    let delay = firstRetryMilliseconds;
    while (!signal.aborted) {
      const result = await store.read(hostKey(nodeId));
      if (result.ok) {
        this.#takeRead(result.value);
        return;
      }
      if (delay === firstRetryMilliseconds) {
        logger.warn('host-entry-not-read', 'the entry of this host cannot be read', {
          detail: result.error.detail,
        });
      }
      delay = await this.#backOff(delay, signal);
    }
  }

  #takeRead(object: StoredObject | undefined): void {
    // The list of hosts may already have shown a later version.
    if (object === undefined || (this.#written?.version ?? 0) <= object.version) {
      this.#written = { text: object?.value, version: object?.version ?? 0 };
    }
    this.#isRead = true;
    if (object !== undefined) this.#reportFound(object.value);
    this.#options.onRead(object !== undefined);
    this.#update();
  }

  /** Waits for about the delay, and returns the next one. */
  async #backOff(delay: number, signal: AbortSignal): Promise<number> {
    const { clock, random } = this.#options;
    await clock.sleep(delay * (0.5 + 0.5 * random.next()), signal);
    return Math.min(longestRetryMilliseconds, delay * 2);
  }

  #wantedText(): string | undefined {
    return this.#wanted === undefined ? undefined : encodeHostEntry(this.#wanted);
  }

  /** Takes in that the entry, or what is known of the store, may have changed. */
  #update(): void {
    if (!this.isCurrent) {
      this.#pendingSince ??= this.#options.clock.now();
      return;
    }
    this.#pendingSince = undefined;
    this.#attempts = 0;
    if (!this.#isRead) return;
    for (const waiter of this.#waiters) waiter();
  }

  async #sleepUntilWoken(signal: AbortSignal): Promise<void> {
    this.#wake = new AbortController();
    const stop = () => this.#wake.abort();
    signal.addEventListener('abort', stop, { once: true });
    await new Promise<void>((resolve) => {
      this.#wake.signal.addEventListener('abort', () => resolve(), { once: true });
    });
    signal.removeEventListener('abort', stop);
  }

  /** Writes once; false when it has to be tried again later. */
  async #write(): Promise<boolean> {
    const { nodeId, store } = this.#options;
    const key = hostKey(nodeId);
    const version = this.#written?.version ?? 0;
    const text = this.#wantedText();
    const outcome =
      text === undefined
        ? await store.remove(key, version)
        : await store.writeConditional(key, text, version);
    this.#attempts += 1;
    this.#logOutcome(outcome, { version, removed: text === undefined });
    this.#created ??= outcome.type === 'done' && text !== undefined && version === 0;
    const isWritten = this.#takeOutcome(outcome, text);
    this.#update();
    return isWritten;
  }

  #logOutcome(
    outcome: WriteOutcome,
    { version, removed }: { version: number; removed: boolean },
  ): void {
    const { logger } = this.#options;
    const attempts = this.#attempts;
    const milliseconds = Math.round(this.pendingMilliseconds);
    if (outcome.type === 'done') {
      logger.info('host-entry-written', 'the entry of this host was written', {
        version: outcome.version,
        removed,
        attempts,
        milliseconds,
      });
      return;
    }
    // Other nodes use what the store holds, so that this may be why they send nothing to this host.
    logger.warn('host-entry-not-written', 'the entry of this host was not written', {
      outcome: outcome.type,
      detail: describe(outcome),
      version,
      removed,
      attempts,
      milliseconds,
    });
  }

  #reportFound(text: string): void {
    const entry = decodeHostEntry(text);
    if (entry !== undefined) this.#options.onFound(entry);
  }

  #takeOutcome(outcome: WriteOutcome, text: string | undefined): boolean {
    switch (outcome.type) {
      case 'done':
        this.#written = { text, version: text === undefined ? 0 : outcome.version };
        return true;
      case 'refused': {
        const { current } = outcome;
        if (current === undefined) {
          // Nothing was done, or the entry is gone; a new one is refused if it still stands.
          this.#written = undefined;
          return false;
        }
        this.#written = { text: current.value, version: current.version };
        this.#reportFound(current.value);
        return true;
      }
      default:
        // The next conditional write finds out whether this one took effect.
        return false;
    }
  }
}

function describe(outcome: Exclude<WriteOutcome, { type: 'done' }>): string {
  if (outcome.type === 'unknown') return outcome.detail;
  return outcome.current === undefined
    ? 'the store turned the write away, or holds no entry any more'
    : 'the store holds another version';
}
