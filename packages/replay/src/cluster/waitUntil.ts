import { setTimeout as sleep } from 'node:timers/promises';

/** Time between two checks, in milliseconds. */
const pollMilliseconds = 50;

/** What to wait for and how long. */
export interface WaitOptions {
  readonly limitMilliseconds: number;
  /** What is waited for; stands in the error. */
  readonly description: string;
}

/** Waits until a check gives `true`; throws when the limit has passed. */
export async function waitUntil(
  check: () => Promise<boolean> | boolean,
  options: WaitOptions,
): Promise<void> {
  const end = performance.now() + options.limitMilliseconds;
  while (!(await check())) {
    if (performance.now() > end) {
      throw new Error(
        `waiting until ${options.description}: not so after ${options.limitMilliseconds} ms`,
      );
    }
    await sleep(pollMilliseconds);
  }
}
