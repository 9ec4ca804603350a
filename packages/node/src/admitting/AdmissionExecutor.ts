import type { ExecutionOutcome, RequestBody, RequestExecutor } from '@hickorybridge/peer-protocol';
import type { NodeIdentity, RefusalReason, RequestHead } from '@hickorybridge/types';

import type { AdmittedBackendServer } from './AdmittedBackendServer.js';

/** The admission side of a node: runs requests at the backend servers of its own host. */
export class AdmissionExecutor implements RequestExecutor {
  readonly #identity: NodeIdentity;

  readonly #backendServers = new Map<string, AdmittedBackendServer>();

  #open = 0;

  #idleListeners: (() => void)[] = [];

  constructor(identity: NodeIdentity) {
    this.#identity = identity;
  }

  /** Requests that were taken and whose outcome is not known yet. */
  get open(): number {
    return this.#open;
  }

  get backendServers(): readonly AdmittedBackendServer[] {
    return [...this.#backendServers.values()];
  }

  get(backendServerId: string): AdmittedBackendServer | undefined {
    return this.#backendServers.get(backendServerId);
  }

  add(backendServer: AdmittedBackendServer): void {
    this.#backendServers.set(backendServer.announcement.backendServerId, backendServer);
  }

  /** Removes a backend server and closes its connections once its requests have ended. */
  async remove(backendServer: AdmittedBackendServer): Promise<void> {
    const { backendServerId } = backendServer.announcement;
    if (this.#backendServers.get(backendServerId) === backendServer) {
      this.#backendServers.delete(backendServerId);
    }
    await backendServer[Symbol.asyncDispose]();
  }

  async execute(
    head: RequestHead,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<ExecutionOutcome> {
    if (head.incarnation !== this.#identity.incarnation) return refuse('stale-incarnation');
    const backendServer = this.#backendServers.get(head.backendServerId);
    if (backendServer === undefined || backendServer.announcement.service !== head.service) {
      return refuse('no-such-backend-server');
    }
    this.#open += 1;
    try {
      return await backendServer.execute(head, body, signal);
    } finally {
      this.#open -= 1;
      if (this.#open === 0) this.#notifyIdle();
    }
  }

  /** Resolves when every backend server here is idle. */
  async idle(): Promise<void> {
    if (this.#open > 0) {
      await new Promise<void>((resolve) => {
        this.#idleListeners.push(resolve);
      });
    }
    await Promise.all(this.backendServers.map((backendServer) => backendServer.idle()));
  }

  #notifyIdle(): void {
    const listeners = this.#idleListeners;
    this.#idleListeners = [];
    for (const listener of listeners) listener();
  }
}

function refuse(reason: RefusalReason): ExecutionOutcome {
  return { type: 'refused', reason, report: undefined };
}
