import type { Logger } from '@hickorybridge/logger';
import type { EventEmitter } from 'node:events';

export interface ProcessFaultsOptions {
  /** The process, whose events are handled. */
  readonly process: EventEmitter;
  readonly node: { stop(): Promise<void> };
  readonly exit: (code: number) => void;
  readonly logger: Logger;
}

const faultExitCode = 1;

/**
 * Handles the errors that no component has handled. After a rejected promise the node goes on, since
 * nothing else depends on that operation. After an uncaught exception the state of the process is
 * unknown: the node ends as in a planned stop, so that its open requests are answered.
 */
export function handleProcessFaults({ exit, logger, node, process }: ProcessFaultsOptions): void {
  let isStopping = false;
  process.on('unhandledRejection', (error) =>
    logger.error('unhandled-rejection', 'a background operation failed unexpectedly', {
      detail: describeError(error),
    }),
  );
  process.on('uncaughtException', async (error) => {
    logger.error('uncaught-exception', 'the node stops after an unexpected error', {
      detail: describeError(error),
    });
    if (isStopping) return;
    isStopping = true;
    await node.stop();
    exit(faultExitCode);
  });
}

function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
