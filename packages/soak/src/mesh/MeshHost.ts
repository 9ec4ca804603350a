import { BackendReporter, StandInSlotBackend } from '@hickorybridge/stand-ins';
import type { RandomSource } from '@hickorybridge/utils';
import type { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { ArrivalCounter } from '../callers/ArrivalCounter.js';
import { MeshBackendService } from '../callers/MeshBackendService.js';
import type { RequestSender } from '../callers/RequestSender.js';
import type { RouteTimeouts } from '../callers/RouteTimeouts.js';
import type { EventRecord } from '../record/EventRecord.js';
import type { BackendMode, EventFields } from '../record/SoakEvent.js';
import { failureDomainOf, loopback, serviceOf, type HostPorts } from './meshFiles.js';
import { meshBounds, queueLength, slots } from './meshShape.js';
import type { NodeProcess } from './NodeProcess.js';

/** Parts that all hosts share. */
export interface MeshHostContext {
  readonly record: EventRecord;
  readonly sender: RequestSender;
  readonly timeouts: RouteTimeouts;
  readonly arrivals: ArrivalCounter;
}

/** Properties of one host. */
export interface MeshHostOptions {
  readonly name: string;
  readonly index: number;
  readonly ports: HostPorts;
  readonly settingsFile: string;
  readonly settingsText: string;
  readonly process: NodeProcess;
  readonly random: RandomSource;
  readonly agent: Agent;
}

interface RunningBackend {
  readonly server: StandInSlotBackend;
  readonly service: MeshBackendService;
  readonly reporter: BackendReporter;
}

const acknowledgementMilliseconds = 4000;
/** A backend server serves on for the bound of draining and a little longer. */
const servesOnMilliseconds = meshBounds.drain + 500;
const slowness = 5;
const failureShare = 0.5;
const breakOffShare = 0.3;
const shedShare = 0.55;

/** A host: the process of its node, its callers' connections and its backend server. */
export class MeshHost implements AsyncDisposable {
  readonly options: MeshHostOptions;

  readonly #context: MeshHostContext;

  #backend: RunningBackend | undefined;

  #incarnation = 0;

  #closed = false;

  constructor(options: MeshHostOptions, context: MeshHostContext) {
    this.options = options;
    this.#context = context;
  }

  get node(): string {
    return this.options.name;
  }

  /** Port to which callers of this host send requests. */
  get port(): number {
    return this.options.ports.callers;
  }

  get agent(): Agent {
    return this.options.agent;
  }

  get process(): NodeProcess {
    return this.options.process;
  }

  async startBackend(): Promise<void> {
    const { agent, index, name, ports, random } = this.options;
    this.#incarnation += 1;
    const id = `i-${index}-${this.#incarnation}`;
    const service = new MeshBackendService({
      ...this.#context,
      backend: id,
      service: serviceOf(index),
      target: { node: name, port: ports.callers },
      random,
      agent,
    });
    const server = new StandInSlotBackend({ id, slots, queueLength, service }, () => random.next());
    await server.start({ host: loopback, port: ports.backendServer });
    const reporter = new BackendReporter({
      id,
      service: serviceOf(index),
      failureDomain: failureDomainOf(index).name,
      slots,
      address: `${loopback}:${ports.backendServer}`,
      reports: { host: loopback, port: ports.reports },
    });
    reporter.start();
    this.#backend = { server, service, reporter };
    this.#note('started');
  }

  /** Drains the backend server, ends it, and starts it again later under another id. */
  async replaceBackend(absentMilliseconds: number): Promise<void> {
    const backend = this.#backend;
    if (backend === undefined || backend.server.draining) return;
    backend.server.draining = true;
    this.#note('draining');
    await backend.reporter.drain(acknowledgementMilliseconds);
    await sleep(servesOnMilliseconds);
    if (this.#closed) return;
    await backend.reporter.deregister();
    await this.#endBackend();
    await sleep(absentMilliseconds);
    if (!this.#closed) await this.startBackend();
  }

  setMode(mode: BackendMode): void {
    if (this.#backend === undefined) return;
    const { server, service } = this.#backend;
    service.slowness = mode === 'slow' ? slowness : 1;
    server.failureShare = mode === 'failing' ? failureShare : 0;
    server.shedShare = mode === 'shedding' ? shedShare : 0;
    server.breakOffShare = mode === 'breaking-off' ? breakOffShare : 0;
    this.#note(mode);
  }

  setSlots(count: number): void {
    this.#backend?.server.resize(count);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#closed = true;
    await this.process[Symbol.asyncDispose]();
    this.agent.destroy();
    await this.#endBackend();
  }

  async #endBackend(): Promise<void> {
    const backend = this.#backend;
    if (backend === undefined) return;
    this.#note('gone');
    this.#backend = undefined;
    await backend.reporter[Symbol.asyncDispose]();
    await backend.server[Symbol.asyncDispose]();
  }

  #note(state: EventFields['backend']['state']): void {
    const backend = this.#backend?.server.id ?? '';
    this.#context.record.add({ type: 'backend', backend, node: this.node, state });
  }
}
