import { readFile, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { preciseWallTime } from '@hickorybridge/stand-ins';
import type { DeploymentCluster } from '../cluster/DeploymentCluster.js';
import type { Host } from '../cluster/Host.js';
import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import type { CommandResult } from '../cluster/runCommandLine.js';
import type { TraceEvent } from '../trace/traceEntry.js';

/** Time for which a backend server was leaving, milliseconds since the Unix epoch. */
export interface Leaving {
  readonly hostId: string;
  readonly from: number;
  until: number;
}

type EventOf<Name extends TraceEvent['event']> = Extract<TraceEvent, { event: Name }>;

/** Carries out the events of a trace on a running deployment and remembers what they excuse. */
export class FaultDriver {
  readonly #cluster: DeploymentCluster;

  readonly #deploymentFile: string;

  readonly #events: Promise<void>[] = [];

  readonly #failures: string[] = [];

  /** Nodes that were killed or frozen; a connection to them may end without a reply. */
  readonly disturbedNodes = new Set<string>();

  readonly leavings: Leaving[] = [];

  /** Results of all applies, in the order in which they ended. */
  readonly applies: CommandResult[] = [];

  /** Planned stops that had to be ended by a kill. */
  forcedStops = 0;

  #changes = 0;

  constructor(cluster: DeploymentCluster, deploymentFile: string) {
    this.#cluster = cluster;
    this.#deploymentFile = deploymentFile;
  }

  /** Starts to carry out an event, without waiting for its end. */
  begin(event: TraceEvent): void {
    const done = this.#carryOut(event).catch((error: unknown) => {
      this.#failures.push(`${event.event}: ${error instanceof Error ? error.message : error}`);
    });
    this.#events.push(done);
  }

  /** Waits for the end of all events, and gives those that could not be carried out. */
  async finish(): Promise<readonly string[]> {
    await Promise.all(this.#events);
    return this.#failures;
  }

  async #carryOut(event: TraceEvent): Promise<void> {
    switch (event.event) {
      case 'straggler':
        return this.#host(event).control({ stragglerFactor: event.factor });
      case 'noisy-neighbour':
        return this.#host(event).control({ noisySlots: event.slots });
      case 'shed':
        return this.#host(event).control({ shedShare: event.share });
      case 'cold-start':
        return this.#host(event).coldStart({ rampMilliseconds: event.rampMilliseconds });
      case 'answer-fault':
        return this.#host(event).control({
          answerFault: event.fault,
          answerFaultCount: event.count,
        });
      case 'store-outage':
        return this.#cluster.storeFaults({
          down: event.down,
          slowMilliseconds: event.slowMilliseconds ?? 0,
        });
      case 'lost-answer':
        return this.#cluster.storeFaults({ loseWriteAnswers: event.count });
      case 'apply':
        return this.#apply(await this.#writeChange());
      default:
        return this.#carryOutProcessEvent(event);
    }
  }

  async #carryOutProcessEvent(
    event: EventOf<
      | 'drain'
      | 'return'
      | 'kill'
      | 'restart'
      | 'freeze'
      | 'thaw'
      | 'cut'
      | 'heal'
      | 'operator-race'
      | 'rolling-restart'
    >,
  ): Promise<void> {
    switch (event.event) {
      case 'drain':
        return this.#drain(this.#host(event));
      case 'return':
        return this.#return(this.#host(event));
      case 'kill':
        return this.#kill(this.#host(event), event.part);
      case 'restart':
        return this.#host(event).start();
      case 'freeze':
        return this.#freeze(this.#host(event), event.part);
      case 'thaw':
        return partsOf(this.#host(event), event.part).forEach((entry) => entry.signal('SIGCONT'));
      case 'cut':
        return this.#cut(event);
      case 'heal':
        return this.#cluster.link.setCut(false);
      case 'operator-race':
        return this.#race();
      case 'rolling-restart':
        return this.#restartInTurn(event.targets);
      default:
        return undefined;
    }
  }

  #host(event: { readonly target: string }): Host {
    return this.#cluster.host(event.target);
  }

  async #drain(host: Host): Promise<void> {
    this.#beginLeaving(host);
    if (!(await host.withdraw())) this.#failures.push(`drain: ${host.plan.id} was not confirmed`);
  }

  async #return(host: Host): Promise<void> {
    this.#endLeaving(host);
    await host.announce();
  }

  async #kill(host: Host, part: EventOf<'kill'>['part']): Promise<void> {
    if (part !== 'backend-server') this.disturbedNodes.add(host.plan.nodeId);
    await Promise.all(partsOf(host, part).map((entry) => entry.kill()));
  }

  #freeze(host: Host, part: EventOf<'freeze'>['part']): void {
    if (part !== 'backend-server') this.disturbedNodes.add(host.plan.nodeId);
    partsOf(host, part).forEach((entry) => entry.signal('SIGSTOP'));
  }

  #cut(event: EventOf<'cut'>): void {
    if (event.direction !== 'back') this.#cluster.link.forth.setCut(true);
    if (event.direction !== 'forth') this.#cluster.link.back.setCut(true);
  }

  async #race(): Promise<void> {
    const files = [await this.#writeChange(), await this.#writeChange()];
    await Promise.all(files.map((file) => this.#apply(file)));
  }

  async #apply(file: string): Promise<void> {
    this.applies.push(await this.#cluster.apply(file));
  }

  /** Writes a copy of the deployment file that keeps idempotency keys a little longer. */
  async #writeChange(): Promise<string> {
    this.#changes += 1;
    const text = await readFile(this.#deploymentFile, 'utf8');
    const file = path.join(this.#cluster.folder, `change-${this.#changes}.toml`);
    const changed = text.replace(
      /^retentionSeconds = (\d+)$/m,
      (_, seconds) => `retentionSeconds = ${Number(seconds) + this.#changes}`,
    );
    await writeFile(file, changed);
    return file;
  }

  async #restartInTurn(targets: readonly string[]): Promise<void> {
    for (const target of targets) {
      const host = this.#cluster.host(target);
      this.#beginLeaving(host);
      if (!(await host.stop())) this.forcedStops += 1;
      this.#endLeaving(host);
      host.start();
    }
  }

  #beginLeaving(host: Host): void {
    this.leavings.push({ hostId: host.plan.id, from: preciseWallTime(), until: Infinity });
  }

  #endLeaving(host: Host): void {
    for (const leaving of this.leavings) {
      if (leaving.hostId === host.plan.id && leaving.until === Infinity) {
        leaving.until = preciseWallTime();
      }
    }
  }
}

function partsOf(host: Host, part: 'node' | 'backend-server' | 'host'): ManagedProcess[] {
  if (part === 'node') return [host.node];
  if (part === 'backend-server') return [host.backendServer];
  return [host.node, host.backendServer];
}
