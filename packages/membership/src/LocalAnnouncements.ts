import { type Announcement, BackendServerState } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import { type AnnouncedBackendServer, describeBackendServer } from './NodeRecord.js';

/** Time without renewal after which an announcement lapses. */
export const announcementLapseMilliseconds = 6000;

/** How an announcement was taken. A leaving backend server must be removed before it returns. */
export type AnnounceOutcome = 'added' | 'changed' | 'renewed' | 'leaving';

interface HeldAnnouncement {
  readonly announcement: Announcement;
  readonly state: BackendServerState;
  readonly renewedAt: number;
}

/** The backend servers that have announced themselves to this node. */
export class LocalAnnouncements {
  readonly #clock: Pick<Clock, 'now'>;

  readonly #held = new Map<string, HeldAnnouncement>();

  #checkedAt: number;

  constructor(clock: Pick<Clock, 'now'>) {
    this.#clock = clock;
    this.#checkedAt = clock.now();
  }

  /** Takes an announcement or its renewal. */
  announce(announcement: Announcement): AnnounceOutcome {
    const { backendServerId } = announcement;
    const held = this.#held.get(backendServerId);
    if (held?.state === BackendServerState.leaving) return 'leaving';
    const renewedAt = this.#clock.now();
    const state = BackendServerState.serving;
    this.#held.set(backendServerId, { announcement, state, renewedAt });
    if (held === undefined) return 'added';
    return isSame(held.announcement, announcement) ? 'renewed' : 'changed';
  }

  /** Marks a backend server as leaving. Gives false when it is unknown or leaves already. */
  withdraw(backendServerId: string): boolean {
    const held = this.#held.get(backendServerId);
    if (held === undefined || held.state === BackendServerState.leaving) return false;
    this.#held.set(backendServerId, { ...held, state: BackendServerState.leaving });
    return true;
  }

  /** Drops a backend server. Gives false when it is unknown. */
  remove(backendServerId: string): boolean {
    return this.#held.delete(backendServerId);
  }

  /**
   * Drops the serving backend servers that were not renewed in time and gives them. Leaving
   * ones stay until `remove`, since they do not renew. After a pause of this process renewals may
   * wait unread, so everything gets a new term.
   */
  dropLapsed(expectedIntervalMilliseconds: number): Announcement[] {
    const now = this.#clock.now();
    const paused = now - this.#checkedAt > expectedIntervalMilliseconds * 3;
    this.#checkedAt = now;
    if (paused) this.#renewAll(now);
    const lapsed = [...this.#held.values()]
      .filter(({ state }) => state === BackendServerState.serving)
      .filter(({ renewedAt }) => now - renewedAt > announcementLapseMilliseconds)
      .map(({ announcement }) => announcement);
    for (const { backendServerId } of lapsed) this.#held.delete(backendServerId);
    return lapsed;
  }

  /** Gives one announcement. */
  get(backendServerId: string): Announcement | undefined {
    return this.#held.get(backendServerId)?.announcement;
  }

  /** Lists the backend servers for the record of this node. */
  describe(): AnnouncedBackendServer[] {
    return [...this.#held.values()].map(({ announcement, state }) =>
      describeBackendServer(announcement, state),
    );
  }

  #renewAll(now: number): void {
    for (const [backendServerId, held] of this.#held) {
      this.#held.set(backendServerId, { ...held, renewedAt: now });
    }
  }
}

function isSame(first: Announcement, second: Announcement): boolean {
  return (
    first.service === second.service &&
    first.address.host === second.address.host &&
    first.address.port === second.address.port &&
    first.slots === second.slots &&
    first.connections === second.connections &&
    first.rampMilliseconds === second.rampMilliseconds
  );
}
