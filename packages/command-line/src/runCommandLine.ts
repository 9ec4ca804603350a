import { nearestName } from '@hickorybridge/configuration';
import type { CommandContext, CommandDefinition } from './CommandDefinition.js';
import { commands } from './commands.js';
import { ExitCode } from './ExitCode.js';
import { makeProgram } from './makeProgram.js';
import { parseArguments } from './parseArguments.js';
import { UsageError } from './UsageError.js';

/** Runs one command. Errors become a message and an exit code; `--stack` adds the stack trace. */
export async function runCommandLine(
  argumentsOfProcess: readonly string[],
  context: CommandContext,
): Promise<ExitCode> {
  const [name, ...rest] = argumentsOfProcess;
  if (name === undefined || isHelp(name) || name === '--version' || name === '-v') {
    makeProgram(commands, 'help').parse(['', '', ...(name === undefined ? ['--help'] : [name])]);
    return name === undefined ? ExitCode.wrongUsage : ExitCode.done;
  }
  try {
    const command = findCommand(name);
    if (rest.some(isHelp)) {
      makeProgram(commands, 'help').help(command.name);
      return ExitCode.done;
    }
    return await command.run(parseArguments(command, argumentsOfProcess), context);
  } catch (error) {
    return reportError(error, name, rest.includes('--stack'), context);
  }
}

function isHelp(argument: string): boolean {
  return argument === '--help' || argument === '-h';
}

function findCommand(name: string): CommandDefinition {
  const command = commands.find((candidate) => candidate.name === name);
  if (command !== undefined) return command;
  const names = commands.map((candidate) => candidate.name);
  const nearest = nearestName(name, names);
  const advice =
    nearest === undefined ? `the commands are ${names.join(', ')}` : `did you mean ${nearest}?`;
  throw new UsageError(`unknown command ${JSON.stringify(name)}; ${advice}`);
}

function reportError(
  error: unknown,
  name: string,
  showStack: boolean,
  context: CommandContext,
): ExitCode {
  const isUsage = error instanceof UsageError;
  const message = error instanceof Error ? error.message : String(error);
  context.printError(isUsage ? message : `${name} failed unexpectedly: ${message}`);
  if (showStack && error instanceof Error) context.printError(error.stack ?? '');
  else context.printError(isUsage ? `see ${helpFor(name)}` : 'add --stack for the stack trace');
  return isUsage ? ExitCode.wrongUsage : ExitCode.failed;
}

function helpFor(name: string): string {
  const known = commands.some((command) => command.name === name);
  return known ? `hickorybridge ${name} --help` : 'hickorybridge --help';
}
