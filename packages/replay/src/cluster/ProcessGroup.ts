import { ManagedProcess } from './ManagedProcess.js';
import type { ProcessOptions } from './ManagedProcess.js';

/** Exit codes of a program that a signal ended: 128 and the number of the signal. */
const exitCodes = { SIGINT: 130, SIGTERM: 143, SIGHUP: 129 } as const;

/** All processes of one deployment. They end with this program, however it ends. */
export class ProcessGroup implements AsyncDisposable {
  readonly processes: ManagedProcess[] = [];

  readonly #removeHandlers: () => void;

  constructor() {
    const killAll = () => this.processes.forEach((entry) => entry.killNow());
    const handlers = Object.entries(exitCodes).map(([signal, code]) => {
      const handler = () => process.exit(code);
      process.once(signal, handler);
      return () => process.off(signal, handler);
    });
    process.once('exit', killAll);
    this.#removeHandlers = () => {
      process.off('exit', killAll);
      handlers.forEach((remove) => remove());
    };
  }

  /** Starts a process that belongs to this group. */
  start(options: ProcessOptions): ManagedProcess {
    const entry = new ManagedProcess(options);
    this.processes.push(entry);
    entry.start();
    return entry;
  }

  /** Kills all processes that still run. */
  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.processes.map((entry) => entry.kill()));
    this.#removeHandlers();
  }
}
