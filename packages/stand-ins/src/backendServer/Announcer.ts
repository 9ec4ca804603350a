import { Agent, request } from 'undici';

/** Time between two announcements, in milliseconds. */
const renewalMilliseconds = 2_000;

/** Time between announcements while the node does not accept them, in milliseconds. */
const firstAnnouncementMilliseconds = 100;

/** Time limit for one announcement, in milliseconds. */
const announcementTimeoutMilliseconds = 2_000;

/** Time limit for a withdrawal; it is answered when all requests in flight have ended. */
const withdrawalTimeoutMilliseconds = 40_000;

/** What an announcer tells the node. */
export interface AnnouncementBody {
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly slots: number;
  readonly connections: number;
  readonly rampMilliseconds: number;
}

/** Which node to tell about which backend server. */
export interface AnnouncerOptions {
  /** Address of the node's announcements listener, for example `127.0.0.1:7101`. */
  readonly node: string;
  readonly backendServerId: string;
  /** Called for the first announcement, and again after the node has not answered. */
  readonly describe: () => AnnouncementBody;
}

/** Announces a backend server to the node on its host and renews the announcement. */
export class Announcer implements AsyncDisposable {
  readonly #options: AnnouncerOptions;

  readonly #agent = new Agent({ headersTimeout: withdrawalTimeoutMilliseconds });

  /** Kept while the node accepts it, so that a renewal does not restart the ramp. */
  #accepted: AnnouncementBody | undefined;

  #timer: NodeJS.Timeout | undefined;

  #stopped = false;

  constructor(options: AnnouncerOptions) {
    this.#options = options;
  }

  /** Whether the node has accepted the last announcement. */
  get announced(): boolean {
    return this.#accepted !== undefined;
  }

  start(): void {
    this.#stopped = false;
    this.#renew();
  }

  /** Sends a changed description with the next renewal, which follows at once. */
  async refresh(): Promise<void> {
    this.#accepted = undefined;
    clearTimeout(this.#timer);
    await this.#announceAndSchedule();
  }

  /**
   * Withdraws the announcement. Gives `true` when the node has confirmed that no request is in
   * flight any more.
   */
  async withdraw(): Promise<boolean> {
    this.#halt();
    this.#accepted = undefined;
    try {
      const answer = await request(this.#url(), {
        dispatcher: this.#agent,
        method: 'DELETE',
        signal: AbortSignal.timeout(withdrawalTimeoutMilliseconds),
      });
      await answer.body.dump();
      return answer.statusCode === 204;
    } catch {
      return false;
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#halt();
    await this.#agent.destroy();
  }

  #halt(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  #renew(): void {
    if (this.#stopped) return;
    this.#announceAndSchedule().catch(() => {});
  }

  async #announceAndSchedule(): Promise<void> {
    const body = this.#accepted ?? this.#options.describe();
    this.#accepted = (await this.#announce(body)) ? body : undefined;
    if (this.#stopped) return;
    const delay = this.announced ? renewalMilliseconds : firstAnnouncementMilliseconds;
    this.#timer = setTimeout(() => this.#renew(), delay);
  }

  async #announce(body: AnnouncementBody): Promise<boolean> {
    try {
      const answer = await request(this.#url(), {
        dispatcher: this.#agent,
        method: 'PUT',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(announcementTimeoutMilliseconds),
      });
      await answer.body.dump();
      return answer.statusCode < 300;
    } catch {
      return false;
    }
  }

  #url(): string {
    const { node, backendServerId } = this.#options;
    return `http://${node}/announcements/${encodeURIComponent(backendServerId)}`;
  }
}
