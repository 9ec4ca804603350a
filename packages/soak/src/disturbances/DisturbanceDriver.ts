import { createServer, type Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CallerFleet } from '../callers/CallerFleet.js';
import type { ReadinessPoller } from '../callers/ReadinessPoller.js';
import { loopback } from '../mesh/meshFiles.js';
import type { MeshHost } from '../mesh/MeshHost.js';
import type { MeshStore } from '../mesh/MeshStore.js';
import { meshBounds, slots } from '../mesh/meshShape.js';
import type { EventRecord } from '../record/EventRecord.js';
import type { Disturbance, HoldPort, Restart } from './Disturbance.js';
import { replaceSettings } from './replaceSettings.js';

/** What disturbances act on. */
export interface DisturbanceDriverOptions {
  readonly record: EventRecord;
  readonly hosts: readonly MeshHost[];
  readonly store: MeshStore;
  readonly callers: CallerFleet;
  readonly readiness: ReadinessPoller;
}

/** Until the node has ended, at the latest when its grace time has passed. */
const portTries = 1400;
const portTryMilliseconds = 5;

/** Carries out a plan of disturbances. */
export class DisturbanceDriver implements AsyncDisposable {
  readonly #options: DisturbanceDriverOptions;

  readonly #pending = new Set<Promise<void>>();

  readonly #listeners = new Set<Server>();

  #stopped = false;

  constructor(options: DisturbanceDriverOptions) {
    this.#options = options;
  }

  /** Carries out each disturbance at its time, and waits until the last has ended. */
  async drive(plan: readonly Disturbance[]): Promise<void> {
    const start = performance.now();
    for (const disturbance of plan) {
      const wait = start + disturbance.at - performance.now();
      if (wait > 0) await sleep(wait);
      if (this.#stopped) return;
      const action = this.#carryOut(disturbance);
      this.#pending.add(action);
      action.finally(() => this.#pending.delete(action));
    }
    await Promise.all(this.#pending);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopped = true;
    for (const server of this.#listeners) server.close();
  }

  async #carryOut(disturbance: Disturbance): Promise<void> {
    const { callers, record, store } = this.#options;
    if ('host' in disturbance) {
      const host = this.#options.hosts[disturbance.host];
      if (host !== undefined) await this.#carryOutOnHost(disturbance, host);
      return;
    }
    switch (disturbance.type) {
      case 'configure':
        store.configure(disturbance.timeoutFactor, disturbance.extraRoutes);
        break;
      case 'remove-key':
        store.removeKey();
        break;
      case 'store':
        await store.disturb(disturbance.state, disturbance.milliseconds);
        break;
      case 'load':
        record.add({ type: 'load', factor: disturbance.factor });
        callers.loadFactor = disturbance.factor;
        await sleep(disturbance.milliseconds);
        callers.loadFactor = 1;
        record.add({ type: 'load', factor: 1 });
        break;
      case 'hasty-callers':
        callers.hasty = true;
        await sleep(disturbance.milliseconds);
        callers.hasty = false;
        break;
    }
  }

  async #carryOutOnHost(
    disturbance: Extract<Disturbance, { host: number }>,
    host: MeshHost,
  ): Promise<void> {
    const { process } = host;
    // Signals in the first moments of a process are the matter of `restart`.
    const started = this.#options.readiness.isStarted(host.node);
    switch (disturbance.type) {
      case 'stop':
        if (started) process.stop(meshBounds.grace, disturbance.absentMilliseconds);
        break;
      case 'reload':
        if (!started) break;
        await this.#replaceSettings(host, true);
        process.signal('SIGHUP');
        break;
      case 'kill':
        process.signal('SIGKILL');
        break;
      case 'pause':
        process.signal('SIGSTOP');
        await sleep(disturbance.milliseconds);
        process.signal('SIGCONT');
        break;
      case 'drain':
        await host.replaceBackend(disturbance.absentMilliseconds);
        break;
      case 'backend-mode':
        host.setMode(disturbance.mode);
        await sleep(disturbance.milliseconds);
        host.setMode('normal');
        break;
      case 'slots':
        host.setSlots(disturbance.slots);
        await sleep(disturbance.milliseconds);
        host.setSlots(slots);
        break;
      case 'restart':
        this.#restart(host, disturbance);
        break;
      case 'hold-port':
        this.#restart(host, { signals: [] });
        await this.#holdPort(host, disturbance);
        break;
    }
  }

  async #replaceSettings(host: MeshHost, atomically: boolean): Promise<void> {
    const { settingsFile, settingsText } = host.options;
    this.#options.record.add({ type: 'settings-replaced', node: host.node, atomically });
    await replaceSettings(settingsFile, settingsText, atomically);
  }

  #restart(host: MeshHost, { settings, signals }: Pick<Restart, 'settings' | 'signals'>): void {
    const { process } = host;
    process.onceStarted(() => {
      for (const { afterMilliseconds, signal } of signals) {
        this.#later(afterMilliseconds, () => {
          if (signal === 'SIGTERM') process.stop(meshBounds.grace);
          else process.signal(signal);
        });
      }
      if (settings === undefined) return;
      const { afterMilliseconds, atomically } = settings;
      this.#later(afterMilliseconds, () => this.#replaceSettings(host, atomically));
    });
    // A node that has not started yet is killed, so that only the plan sends it signals then.
    if (this.#options.readiness.isStarted(host.node)) process.stop(meshBounds.grace);
    else process.signal('SIGKILL');
  }

  #later(milliseconds: number, action: () => void): void {
    setTimeout(() => {
      if (!this.#stopped) action();
    }, milliseconds);
  }

  /** Takes a port as soon as the node has left it. */
  async #holdPort({ node, options }: MeshHost, disturbance: HoldPort): Promise<void> {
    const port = options.ports[disturbance.listener];
    const server = await this.#listen(port);
    if (server === undefined) return;
    this.#options.record.add({ type: 'port-held', node, port });
    await sleep(disturbance.milliseconds);
    this.#listeners.delete(server);
    server.close();
    this.#options.record.add({ type: 'port-freed', node, port });
  }

  async #listen(port: number): Promise<Server | undefined> {
    for (let tries = 0; tries < portTries && !this.#stopped; tries += 1) {
      const server = createServer((socket) => socket.destroy());
      const listening = await new Promise<boolean>((resolve) => {
        server.once('error', () => resolve(false));
        server.listen(port, loopback, () => resolve(true));
      });
      if (listening) {
        this.#listeners.add(server);
        return server;
      }
      await sleep(portTryMilliseconds);
    }
    return undefined;
  }
}
