import { execFile } from 'node:child_process';
import { binaries } from './binaries.js';

/** Time limit for one command, in milliseconds. */
const commandTimeoutMilliseconds = 20_000;

/** How a command of the operators' command line ended. */
export interface CommandResult {
  /** Exit code: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 unknown. */
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

/** Runs the operators' command line as a process of its own. */
export async function runCommandLine(words: readonly string[]): Promise<CommandResult> {
  return new Promise((resolve) => {
    const child = execFile(
      process.execPath,
      [binaries.commandLine, ...words],
      { timeout: commandTimeoutMilliseconds, killSignal: 'SIGKILL' },
      (_, output, errors) => resolve({ code: child.exitCode ?? 1, output, errors }),
    );
  });
}
