import type { Logger } from './Logger.js';

/** The properties of a task failure that are logged. */
export interface LoggedTaskFailure {
  readonly task: string;
  readonly detail: string;
  readonly delayMilliseconds: number;
}

/** Creates a supervisor's failure listener that logs each task failure. */
export function taskFailureLogger(logger: Logger): (failure: LoggedTaskFailure) => void {
  return ({ task, detail, delayMilliseconds }) =>
    logger.error('task-failed', `the task ${task} failed; it is started again after a delay`, {
      task,
      detail,
      delayMilliseconds,
    });
}
