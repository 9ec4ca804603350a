import { request } from 'node:http';

import { loopback } from '../mesh/meshFiles.js';
import type { EventRecord } from '../record/EventRecord.js';

/** A node whose readiness is asked for. */
export interface PolledNode {
  readonly name: string;
  readonly port: number;
  /** How often it has been started. A node that starts has to become ready anew. */
  readonly process: { readonly running: boolean; readonly starts: number };
}

const tickMilliseconds = 250;
/** The platform asks a node this often; nodes that have not been ready yet are asked each tick. */
const ticksBetweenQuestions = 4;
const answerLimitMilliseconds = 1000;
const missesUntilOut = 2;

/** Asks the nodes whether they are ready, as the platform does. */
export class ReadinessPoller implements AsyncDisposable {
  readonly #nodes: readonly PolledNode[];

  readonly #record: EventRecord;

  readonly #misses = new Map<string, number>();

  /** The start after which a node was ready last, as a count. */
  readonly #readySince = new Map<string, number>();

  #ticks = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(nodes: readonly PolledNode[], record: EventRecord) {
    this.#nodes = nodes;
    this.#record = record;
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), tickMilliseconds);
  }

  /** Whether callers of this host send new requests. */
  takesRequests(name: string): boolean {
    return (this.#misses.get(name) ?? missesUntilOut) < missesUntilOut;
  }

  /** Whether a node runs and has been ready since its last start. */
  isStarted(name: string): boolean {
    const process = this.#nodes.find((node) => node.name === name)?.process;
    return process?.running === true && this.#readySince.get(name) === process.starts;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
  }

  #tick(): void {
    this.#ticks += 1;
    const all = this.#ticks % ticksBetweenQuestions === 0;
    for (const node of this.#nodes) {
      if (all || !this.isStarted(node.name)) this.#ask(node, all);
    }
  }

  async #ask({ name, port, process }: PolledNode, counted: boolean): Promise<void> {
    const { starts } = process;
    const ready = await isReady(port);
    if (ready) {
      this.#misses.set(name, 0);
      if (starts !== process.starts || this.#readySince.get(name) === starts) return;
      this.#readySince.set(name, starts);
      this.#record.add({ type: 'node-ready', node: name });
    } else if (counted) {
      this.#misses.set(name, (this.#misses.get(name) ?? missesUntilOut) + 1);
    }
  }
}

async function isReady(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = request({ host: loopback, port, path: '/v1/readyz', agent: false });
    outgoing.setTimeout(answerLimitMilliseconds, () => outgoing.destroy());
    outgoing.on('error', () => resolve(false));
    outgoing.once('close', () => resolve(false));
    outgoing.once('response', (answer) => {
      answer.on('error', () => {});
      answer.resume();
      resolve(answer.statusCode === 200);
    });
    outgoing.end();
  });
}
