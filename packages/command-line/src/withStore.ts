import type { PlatformStore } from '@hickorybridge/store';
import type { CommandContext, CommandInput } from './CommandDefinition.js';
import { storeOption, textOption, timeoutOption } from './commonOptions.js';
import type { ExitCode } from './ExitCode.js';
import { UsageError } from './UsageError.js';

const defaultTimeoutMilliseconds = 5_000;

/** Opens the store that the options name, runs the work and closes the store. */
export async function withStore(
  input: CommandInput,
  context: CommandContext,
  work: (store: PlatformStore) => Promise<ExitCode>,
): Promise<ExitCode> {
  const url = textOption(storeOption, input, context);
  if (url === undefined) {
    throw new UsageError(
      'the store is not known: add --store URL or set HICKORYBRIDGE_STORE, as in --store http://127.0.0.1:7000',
    );
  }
  checkUrl(url, '--store');
  const store = context.openStore(url, timeoutOf(input, context));
  try {
    return await work(store);
  } finally {
    await store[Symbol.asyncDispose]();
  }
}

/** Refuses a value that is no http or https URL. */
export function checkUrl(url: string, option: string): void {
  if (!URL.canParse(url) || !/^https?:$/.test(new URL(url).protocol)) {
    throw new UsageError(
      `${option} ${JSON.stringify(url)} is not an http:// or https:// URL, as in http://127.0.0.1:7000`,
    );
  }
}

/** Time limit of one call, in milliseconds. */
export function timeoutOf(input: CommandInput, context: CommandContext): number {
  const text = textOption(timeoutOption, input, context);
  if (text === undefined) return defaultTimeoutMilliseconds;
  const timeout = Number(text);
  if (Number.isInteger(timeout) && timeout > 0) return timeout;
  throw new UsageError(`--timeout ${JSON.stringify(text)} must be a whole number above 0`);
}
