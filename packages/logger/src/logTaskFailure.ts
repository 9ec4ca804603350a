import type { Logger } from './Logger.js';

/** What is logged of a failed task. */
export interface LoggedTaskFailure {
  readonly task: string;
  readonly detail: string;
  readonly delayMilliseconds: number;
}

/** Makes the listener of a supervisor that logs each failure of a task. */
export function taskFailureLogger(logger: Logger): (failure: LoggedTaskFailure) => void {
  return ({ task, detail, delayMilliseconds }) =>
    logger.error('task-failed', `the task ${task} failed; it is started again after a delay`, {
      task,
      detail,
      delayMilliseconds,
    });
}
