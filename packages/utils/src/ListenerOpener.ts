import { fail, succeed, type Result, type SocketAddress } from '@hickorybridge/types';
import type { Server } from 'node:net';

import { systemClock, type Clock } from './clock.js';

/** A listener could not be opened. */
export interface ListenError {
  readonly type: 'listen-failed';
  readonly detail: string;
}

export interface ListenerOpenerOptions {
  /** Time from the first try of the first listener to the last try of any, in milliseconds. */
  readonly retryMilliseconds: number;
  readonly clock: Clock;
  /** Ends the tries. */
  readonly signal: AbortSignal;
  /** Called once for each address that is tried again. */
  readonly onRetry: (detail: string) => void;
}

const retryPauseMilliseconds = 100;

/** What helps against the errors that may pass without a change of the settings. */
const adviceFor: ReadonlyMap<string | undefined, string> = new Map([
  ['EADDRINUSE', 'end the process that holds the address, or name another address in the settings'],
  [
    'EADDRNOTAVAIL',
    'give the address to a network interface of this host, or name another one in the settings',
  ],
]);

/**
 * Opens the listeners of a process. An address that another process still holds, such as the former
 * one of this host, or that the host does not have yet is tried again for a limited time.
 */
export class ListenerOpener {
  readonly #options: ListenerOpenerOptions;

  #startedAt: number | undefined;

  constructor(options: ListenerOpenerOptions) {
    this.#options = options;
  }

  /** Creates an opener that tries each address once. */
  static withoutRetry(): ListenerOpener {
    return new ListenerOpener({
      retryMilliseconds: 0,
      clock: systemClock,
      signal: new AbortController().signal,
      onRetry: () => {},
    });
  }

  /** Opens a listener, and gives the address that it has. */
  async open(server: Server, address: SocketAddress): Promise<Result<SocketAddress, ListenError>> {
    const { clock, onRetry, retryMilliseconds, signal } = this.#options;
    this.#startedAt ??= clock.now();
    const triedFrom = clock.now();
    const until = this.#startedAt + retryMilliseconds;
    for (let tries = 1; ; tries += 1) {
      const error = await listen(server, address);
      if (error === undefined) return succeed({ host: address.host, port: portOf(server) });
      const reason = `cannot listen on ${address.host}:${address.port}: ${error.message}`;
      const advice = adviceFor.get(error.code);
      if (advice === undefined) return listenFailed(reason);
      const remaining = until - clock.now();
      if (remaining <= 0) {
        const seconds = ((clock.now() - triedFrom) / 1000).toFixed(1);
        return listenFailed(`${reason}; tried ${tries} times in ${seconds} s; ${advice}`);
      }
      if (tries === 1) onRetry(reason);
      await clock.sleep(Math.min(retryPauseMilliseconds, remaining), signal);
      if (signal.aborted) return listenFailed(`${reason}; the process was told to stop`);
    }
  }
}

/** Tries once; returns the error, if any. */
function listen(
  server: Server,
  { host, port }: SocketAddress,
): Promise<NodeJS.ErrnoException | undefined> {
  return new Promise((resolve) => {
    const finish = (error?: NodeJS.ErrnoException) => {
      server.off('error', finish);
      server.off('listening', finish);
      resolve(error);
    };
    server.once('error', finish);
    server.once('listening', finish);
    server.listen(port, host);
  });
}

function portOf(server: Server): number {
  const bound = server.address();
  return bound !== null && typeof bound === 'object' ? bound.port : 0;
}

function listenFailed(detail: string): Result<never, ListenError> {
  return fail({ type: 'listen-failed', detail });
}
