import { createAdaptiveAdmissionController } from '@hickorybridge/admission';
import type { Logger } from '@hickorybridge/logger';
import type { LocalChange, Membership } from '@hickorybridge/membership';
import type { Announcement } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { AdmissionExecutor } from './AdmissionExecutor.js';
import { AdmittedBackendServer } from './AdmittedBackendServer.js';
import { BackendServerClient } from './BackendServerClient.js';

/** What `LocalBackendServers` is made of. */
export interface LocalBackendServersOptions {
  readonly membership: Membership;
  readonly executor: AdmissionExecutor;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Keeps the admission side in step with the announcements of this host's backend servers. */
export class LocalBackendServers {
  readonly #options: LocalBackendServersOptions;

  #leaving = false;

  constructor(options: LocalBackendServersOptions) {
    this.#options = options;
    options.membership.onLocalChange((change) => this.#handle(change));
  }

  /** Takes an announcement or its renewal. */
  announce(announcement: Announcement): void {
    this.#options.membership.announce(announcement);
  }

  /** Drains a backend server and drops it. False when it is not announced here. */
  async withdraw(backendServerId: string): Promise<boolean> {
    const { executor, membership } = this.#options;
    const known = membership.withdraw(backendServerId);
    const backendServer = executor.get(backendServerId);
    if (backendServer === undefined) return known;
    backendServer.leave();
    await backendServer.idle();
    membership.remove(backendServerId);
    return true;
  }

  list(): readonly Announcement[] {
    return this.#options.executor.backendServers.map(({ announcement }) => announcement);
  }

  /** Refuses new requests for all backend servers of this host. */
  leave(): void {
    this.#leaving = true;
    for (const backendServer of this.#options.executor.backendServers) backendServer.leave();
  }

  #handle({ type, announcement }: LocalChange): void {
    const { executor, logger } = this.#options;
    const { backendServerId, service } = announcement;
    const existing = executor.get(backendServerId);
    logger.info('backend-server-changed', `backend server "${backendServerId}" is ${type}`, {
      backendServerId,
      service,
      change: type,
    });
    if (type === 'announced') this.#add(announcement, existing);
    else if (existing !== undefined) this.#retire(existing, type);
  }

  #add(announcement: Announcement, existing: AdmittedBackendServer | undefined): void {
    const { clock, executor } = this.#options;
    if (existing !== undefined) this.#retire(existing, 'removed');
    const { address, connections, rampMilliseconds, slots } = announcement;
    const backendServer = new AdmittedBackendServer({
      announcement,
      controller: createAdaptiveAdmissionController({
        slots,
        connections,
        rampMilliseconds,
        clock,
      }),
      client: new BackendServerClient(address, connections, clock),
      clock,
    });
    if (this.#leaving) backendServer.leave();
    executor.add(backendServer);
  }

  async #retire(backendServer: AdmittedBackendServer, change: LocalChange['type']): Promise<void> {
    backendServer.leave();
    if (change === 'withdrawn') return;
    await backendServer.idle();
    await this.#options.executor.remove(backendServer);
  }
}
