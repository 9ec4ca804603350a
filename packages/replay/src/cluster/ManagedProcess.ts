import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';

/** How to start a process and where its output goes. */
export interface ProcessOptions {
  readonly name: string;
  /** Script and arguments for this process's own Node.js. */
  readonly arguments: readonly string[];
  /** File to which standard output and standard error are appended. */
  readonly logFile: string;
}

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Whether this program asked for the end. */
  readonly asked: boolean;
}

/** One process that this program has started and can signal, end and start again. */
export class ManagedProcess {
  readonly #options: ProcessOptions;

  #child: ChildProcess | undefined;

  #ended: Promise<ProcessEnd> = Promise.resolve({ code: 0, signal: null, asked: true });

  #asked = false;

  #lastEnd: ProcessEnd | undefined;

  constructor(options: ProcessOptions) {
    this.#options = options;
  }

  get name(): string {
    return this.#options.name;
  }

  get running(): boolean {
    return this.#child !== undefined;
  }

  get processId(): number | undefined {
    return this.#child?.pid;
  }

  /** How the last run ended; `undefined` while none has ended. */
  get lastEnd(): ProcessEnd | undefined {
    return this.#lastEnd;
  }

  start(): void {
    if (this.#child !== undefined) throw new Error(`starting ${this.name}: it already runs`);
    const log = openSync(this.#options.logFile, 'a');
    const child = spawn(process.execPath, [...this.#options.arguments], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.#child = child;
    this.#asked = false;
    this.#ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.#child = undefined;
        this.#lastEnd = { code, signal, asked: this.#asked };
        resolve(this.#lastEnd);
      });
    });
  }

  /** Sends a signal; `SIGSTOP` freezes the process and `SIGCONT` thaws it. */
  signal(signal: NodeJS.Signals): void {
    if (signal !== 'SIGSTOP' && signal !== 'SIGCONT') this.#asked = true;
    this.#child?.kill(signal);
  }

  /** Waits for the end of the process. */
  async waitForEnd(): Promise<ProcessEnd> {
    return this.#ended;
  }

  /** Asks the process to stop; after the limit it is killed. Gives whether it stopped by itself. */
  async stop(limitMilliseconds: number): Promise<boolean> {
    this.signal('SIGTERM');
    const limit = new AbortController();
    const stopped = await Promise.race([
      this.#ended.then(() => true),
      sleep(limitMilliseconds, false, { signal: limit.signal }),
    ]);
    limit.abort();
    if (!stopped) await this.kill();
    return stopped;
  }

  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.#ended;
  }

  /** Kills without waiting; for the end of this program. */
  killNow(): void {
    this.#child?.kill('SIGKILL');
  }
}
