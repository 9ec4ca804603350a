import type { EventEmitter } from 'node:events';

/** What a process does at a signal, once its components exist. */
export interface SignalTarget {
  /** Reads the settings again; absent if the program reads them at its start only. */
  reload?(): void;
  /** Stops in a planned way. Called once. */
  stop(): Promise<void>;
}

export interface ProcessSignalsOptions {
  /** The process, whose signals are handled. */
  readonly process: EventEmitter;
  readonly exit: (code: number) => void;
  /** Prints why a stop failed. */
  readonly printError: (text: string) => void;
}

const stoppedExitCode = 0;
const stopFailedExitCode = 1;

/**
 * Handles the signals of a process from its creation on, because a signal without a handler ends the
 * process. SIGTERM and SIGINT stop the process, SIGHUP reloads the settings.
 */
export class ProcessSignals {
  readonly #options: ProcessSignalsOptions;

  #target: SignalTarget | undefined;

  #isReloadPending = false;

  #isStopping = false;

  constructor(options: ProcessSignalsOptions) {
    this.#options = options;
    options.process.on('SIGHUP', () => this.#reload());
    options.process.on('SIGTERM', () => this.#stop());
    options.process.on('SIGINT', () => this.#stop());
  }

  /** Whether a signal to stop has come. */
  get stopping(): boolean {
    return this.#isStopping;
  }

  /** Passes further signals on to the target, and a reload that was requested before. */
  connect(target: SignalTarget): void {
    this.#target = target;
    if (this.#isReloadPending) this.#reload();
  }

  #reload(): void {
    if (this.#isStopping) return;
    this.#isReloadPending = this.#target === undefined;
    this.#target?.reload?.();
  }

  /** Stops at the first signal; later ones change nothing. Without a target nothing is open yet. */
  async #stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { exit, printError } = this.#options;
    try {
      await this.#target?.stop();
      exit(stoppedExitCode);
    } catch (error) {
      printError(`cannot stop as planned: ${String(error)}\n`);
      exit(stopFailedExitCode);
    }
  }
}
