import { nearestName } from '@hickorybridge/configuration';
import type { CommandDefinition, CommandInput, OptionDefinition } from './CommandDefinition.js';
import { makeProgram, stackOption } from './makeProgram.js';
import { UsageError } from './UsageError.js';

type ParsedOptions = Readonly<Record<string, unknown>> & { readonly _: readonly string[] };

/** Parses the arguments of a command, its name included. Throws `UsageError` when they are wrong. */
export function parseArguments(
  command: CommandDefinition,
  argumentsOfProcess: readonly string[],
): CommandInput {
  const options = [...command.options, stackOption];
  const flags = options.filter((option) => option.valueName === undefined);
  const valued = options.filter((option) => option.valueName !== undefined);
  const { args } = makeProgram([command], 'parsing').parse(['', '', ...argumentsOfProcess], {
    lazy: true,
    boolean: flags.map((option) => option.name),
    string: valued.map((option) => option.name),
    unknown: (argument: string) => {
      throw unknownOption(command, argument, options);
    },
  });
  const parsed = args.at(-1) as unknown as ParsedOptions;
  const positionals = args.slice(0, -1).filter((argument) => argument !== undefined);
  checkPositionals(command, [...positionals, ...parsed._]);
  return { positionals, options: readOptions(options, parsed) };
}

function readOptions(
  options: readonly OptionDefinition[],
  parsed: ParsedOptions,
): CommandInput['options'] {
  const values: Record<string, string | boolean | undefined> = {};
  for (const option of options) {
    const value = parsed[option.name];
    if (Array.isArray(value)) throw new UsageError(`--${option.name} is given more than once`);
    if (value === '' && option.valueName !== undefined) {
      throw new UsageError(
        `--${option.name} needs a value, as in --${option.name} ${option.valueName}`,
      );
    }
    if (typeof value === 'string' || typeof value === 'boolean') values[option.name] = value;
  }
  return values;
}

function unknownOption(
  command: CommandDefinition,
  argument: string,
  options: readonly OptionDefinition[],
): UsageError {
  const known = [...options.map((option) => option.name), 'help'];
  const nearest = nearestName(argument.replace(/^-+/, '').replace(/=.*$/, ''), known);
  const advice =
    nearest === undefined
      ? `its options are ${known.map((name) => `--${name}`).join(', ')}`
      : `did you mean --${nearest}?`;
  return new UsageError(`unknown option ${argument} of ${command.name}; ${advice}`);
}

function checkPositionals(command: CommandDefinition, positionals: readonly string[]): void {
  const usage = ['hickorybridge', command.name, ...command.positionals].join(' ');
  const missing = command.positionals[positionals.length];
  if (missing !== undefined) throw new UsageError(`${missing} is missing: ${usage}`);
  const extra = positionals.slice(command.positionals.length);
  if (extra.length === 0) return;
  throw new UsageError(`unexpected argument ${JSON.stringify(extra.join(' '))}: ${usage}`);
}
