import { readRunLog } from '@hickorybridge/stand-ins';
import type { BackendServerControl, Run } from '@hickorybridge/stand-ins';
import type { HostPlan } from './hostPlan.js';
import { putJson, statusOf } from './httpJson.js';
import type { ManagedProcess } from './ManagedProcess.js';
import { formatAddress } from './nodeSettingsText.js';

/** A host of a running deployment: the node and the backend server beside it. */
export interface HostOptions {
  readonly plan: HostPlan;
  readonly node: ManagedProcess;
  readonly backendServer: ManagedProcess;
  readonly runLog: string;
}

/** Time for which a planned stop may last before the process is killed, in milliseconds. */
const stopLimitMilliseconds = 15_000;

/** Time in which a node must confirm a withdrawal, in milliseconds. */
const withdrawalLimitMilliseconds = 20_000;

/** One host: its two processes, and the calls that steer them. */
export class Host {
  readonly plan: HostPlan;

  readonly node: ManagedProcess;

  readonly backendServer: ManagedProcess;

  readonly #runLog: string;

  constructor(options: HostOptions) {
    this.plan = options.plan;
    this.node = options.node;
    this.backendServer = options.backendServer;
    this.#runLog = options.runLog;
  }

  /** Base address of the callers' listener. */
  get callersUrl(): string {
    return `http://${formatAddress(this.plan.callers)}`;
  }

  /** Base address of the operators' listener. */
  get operatorsUrl(): string {
    return `http://${formatAddress(this.plan.operators)}`;
  }

  /** Base address of the backend server itself. */
  get backendServerUrl(): string {
    return `http://${formatAddress(this.plan.backendServer)}`;
  }

  /** Whether the node serves requests. */
  async ready(): Promise<boolean> {
    return this.node.running && (await statusOf(`${this.operatorsUrl}/ready`)) === 200;
  }

  /** Whether the backend server's control listener answers. */
  async backendServerReady(): Promise<boolean> {
    return (await statusOf(`http://${formatAddress(this.plan.control)}/control`)) === 200;
  }

  /** Changes the behaviour of the backend server. */
  async control(changes: Partial<BackendServerControl>): Promise<void> {
    await putJson(`http://${formatAddress(this.plan.control)}/control`, changes);
  }

  /** Begins a cold start of the backend server. */
  async coldStart(changes: Partial<BackendServerControl>): Promise<void> {
    await putJson(`http://${formatAddress(this.plan.control)}/control/cold-start`, changes);
  }

  /** Withdraws the backend server; `true` when the node confirmed that nothing is in flight. */
  async withdraw(): Promise<boolean> {
    const url = `http://${formatAddress(this.plan.control)}/control/withdraw`;
    const answer = await putJson<{ confirmed: boolean }>(url, {}, withdrawalLimitMilliseconds);
    return answer.confirmed;
  }

  /** Announces the backend server again after a withdrawal. */
  async announce(): Promise<void> {
    await putJson(`http://${formatAddress(this.plan.control)}/control/announce`, {});
  }

  /** Gives all runs, also those of a killed process. */
  runs(): Run[] {
    return readRunLog(this.#runLog);
  }

  /** Stops the backend server, then the node, as a planned replacement does. */
  async stop(): Promise<boolean> {
    const stopped = await this.backendServer.stop(stopLimitMilliseconds);
    return (await this.node.stop(stopLimitMilliseconds)) && stopped;
  }

  /** Starts what does not run. */
  start(): void {
    if (!this.node.running) this.node.start();
    if (!this.backendServer.running) this.backendServer.start();
  }
}
