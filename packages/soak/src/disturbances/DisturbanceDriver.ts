import { createServer, type Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CallerFleet } from '../callers/CallerFleet.js';
import type { ReadinessPoller } from '../callers/ReadinessPoller.js';
import { loopback } from '../mesh/meshFiles.js';
import type { MeshHost } from '../mesh/MeshHost.js';
import type { MeshStore } from '../mesh/MeshStore.js';
import { meshBounds } from '../mesh/meshShape.js';
import type { EventRecord } from '../record/EventRecord.js';
import type { Disturbance } from './Disturbance.js';
import { replaceSettings } from './replaceSettings.js';

/** What disturbances act on. */
export interface DisturbanceDriverOptions {
  readonly record: EventRecord;
  readonly hosts: readonly MeshHost[];
  readonly store: MeshStore;
  readonly callers: CallerFleet;
  readonly readiness: ReadinessPoller;
}

const usualSlots = 6;
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
    switch (disturbance.type) {
      case 'stop':
        // Signals in the first moments of a process are the matter of `restart`.
        if (!this.#isStarted(disturbance.host)) return;
        this.#host(disturbance.host).process.stop(meshBounds.grace, disturbance.absentMilliseconds);
        return;
      case 'reload':
        if (this.#isStarted(disturbance.host)) await this.#reload(disturbance.host);
        return;
      case 'kill':
        for (const host of disturbance.hosts) this.#host(host).process.signal('SIGKILL');
        return;
      case 'pause':
        await this.#pause(disturbance.host, disturbance.milliseconds);
        return;
      case 'configure':
        store.configure(disturbance.timeoutFactor, disturbance.extraRoutes);
        return;
      case 'drain':
        await this.#host(disturbance.host).replaceBackend(disturbance.absentMilliseconds);
        return;
      case 'backend-mode':
        this.#host(disturbance.host).setMode(disturbance.mode);
        await sleep(disturbance.milliseconds);
        this.#host(disturbance.host).setMode('normal');
        return;
      case 'slots':
        this.#host(disturbance.host).setSlots(disturbance.slots);
        await sleep(disturbance.milliseconds);
        this.#host(disturbance.host).setSlots(usualSlots);
        return;
      case 'store':
        await store.disturb(disturbance.state, disturbance.milliseconds);
        return;
      case 'load':
        record.add({ type: 'load', factor: disturbance.factor });
        callers.loadFactor = disturbance.factor;
        await sleep(disturbance.milliseconds);
        callers.loadFactor = 1;
        record.add({ type: 'load', factor: 1 });
        return;
      case 'hasty-callers':
        callers.hasty = true;
        await sleep(disturbance.milliseconds);
        callers.hasty = false;
        return;
      case 'restart':
        this.#restart(disturbance);
        return;
      case 'hold-port':
        this.#restart({ ...disturbance, type: 'restart', signals: [] });
        await this.#holdPort(disturbance);
    }
  }

  #host(index: number): MeshHost {
    return this.#options.hosts[index] as MeshHost;
  }

  #isStarted(index: number): boolean {
    return this.#options.readiness.isStarted(this.#host(index).node);
  }

  async #reload(index: number): Promise<void> {
    await this.#replaceSettings(index, true);
    this.#host(index).process.signal('SIGHUP');
  }

  async #replaceSettings(index: number, atomically: boolean): Promise<void> {
    const { settingsFile, settingsText } = this.#host(index).options;
    const { node } = this.#host(index);
    this.#options.record.add({ type: 'settings-replaced', node, atomically });
    await replaceSettings(settingsFile, settingsText, atomically);
  }

  async #pause(index: number, milliseconds: number): Promise<void> {
    const { process } = this.#host(index);
    process.signal('SIGSTOP');
    await sleep(milliseconds);
    process.signal('SIGCONT');
  }

  #restart({ host, settings, signals }: Extract<Disturbance, { type: 'restart' }>): void {
    const { process } = this.#host(host);
    process.onceStarted(() => {
      for (const { afterMilliseconds, signal } of signals) {
        setTimeout(() => {
          if (this.#stopped) return;
          if (signal === 'SIGTERM') process.stop(meshBounds.grace);
          else process.signal(signal);
        }, afterMilliseconds);
      }
      if (settings === undefined) return;
      const { afterMilliseconds, atomically } = settings;
      setTimeout(() => this.#replaceSettings(host, atomically), afterMilliseconds);
    });
    // A node that has not started yet is killed, so that only the plan sends it signals then.
    if (this.#isStarted(host)) process.stop(meshBounds.grace);
    else process.signal('SIGKILL');
  }

  /** Takes a port as soon as the node has left it. */
  async #holdPort(disturbance: Extract<Disturbance, { type: 'hold-port' }>): Promise<void> {
    const { node, options } = this.#host(disturbance.host);
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
