import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';

import type { EventRecord } from '../record/EventRecord.js';
import type { EventFields } from '../record/SoakEvent.js';

/** How a node is started. */
export interface NodeProcessOptions {
  readonly name: string;
  /** Options of the runtime and the program. */
  readonly arguments: readonly string[];
  readonly settingsFile: string;
  readonly logFile: string;
  readonly record: EventRecord;
}

/** The platform starts a process that has ended again after this time. */
const restartMilliseconds = 500;

/** The process of one node. It is started again whenever it ends, until it is disposed. */
export class NodeProcess implements AsyncDisposable {
  readonly #options: NodeProcessOptions;

  #child: ChildProcess | undefined;

  #restart: NodeJS.Timeout | undefined;

  #graceEnd: NodeJS.Timeout | undefined;

  /** Delay of the next start only. */
  #nextRestartMilliseconds: number | undefined;

  #closed = false;

  #starts = 0;

  readonly #onStart = new Set<() => void>();

  constructor(options: NodeProcessOptions) {
    this.#options = options;
  }

  get name(): string {
    return this.#options.name;
  }

  get running(): boolean {
    return this.#child !== undefined;
  }

  /** How often the process has been started. */
  get starts(): number {
    return this.#starts;
  }

  /** Calls a function once, right after the next start. */
  onceStarted(listener: () => void): void {
    this.#onStart.add(listener);
  }

  start(): void {
    if (this.#closed || this.#child !== undefined) return;
    const { arguments: words, logFile, name, record, settingsFile } = this.#options;
    const log = openSync(logFile, 'a');
    const child = spawn(process.execPath, [...words], {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        HICKORYBRIDGE_CONFIG: settingsFile,
      },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.#child = child;
    this.#starts += 1;
    child.once('exit', (code, signal) => {
      this.#child = undefined;
      clearTimeout(this.#graceEnd);
      this.#graceEnd = undefined;
      record.add({ type: 'node-ended', node: name, code, signal });
      if (this.#closed) return;
      const delay = this.#nextRestartMilliseconds ?? restartMilliseconds;
      this.#nextRestartMilliseconds = undefined;
      this.#restart = setTimeout(() => this.start(), delay);
    });
    record.add({ type: 'node-started', node: name, processId: child.pid ?? 0 });
    const listeners = [...this.#onStart];
    this.#onStart.clear();
    for (const listener of listeners) listener();
  }

  signal(signal: EventFields['signal']['signal'], afterGrace?: boolean): void {
    const { name, record } = this.#options;
    if (this.#child?.kill(signal) !== true) return;
    record.add({ type: 'signal', node: name, signal, ...(afterGrace ? { afterGrace } : {}) });
  }

  /** Asks the process to stop, and kills it when its grace time has passed. */
  stop(graceMilliseconds: number, nextRestartMilliseconds?: number): void {
    if (this.#child === undefined) return;
    this.#nextRestartMilliseconds = nextRestartMilliseconds;
    this.signal('SIGTERM');
    this.#graceEnd ??= setTimeout(() => this.signal('SIGKILL', true), graceMilliseconds);
  }

  /** Stops the process for good within its grace time. */
  async close(graceMilliseconds: number): Promise<void> {
    this.#closed = true;
    clearTimeout(this.#restart);
    const child = this.#child;
    if (child === undefined) return;
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    this.signal('SIGCONT');
    this.stop(graceMilliseconds);
    await ended;
  }

  /** Kills the process at once, without waiting. */
  killNow(): void {
    this.#closed = true;
    clearTimeout(this.#restart);
    this.#child?.kill('SIGKILL');
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.killNow();
    clearTimeout(this.#graceEnd);
  }
}
