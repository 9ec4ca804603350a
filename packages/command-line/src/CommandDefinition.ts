import type { Clock } from '@hickorybridge/utils';
import type { PlatformStore } from '@hickorybridge/store';
import type { ExitCode } from './ExitCode.js';

/** Everything outside the process that a command uses, so that tests can replace it. */
export interface CommandContext {
  readonly clock: Clock;
  /** Writes a line to standard output. */
  readonly print: (line: string) => void;
  /** Writes a line to standard error. */
  readonly printError: (line: string) => void;
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly openStore: (url: string, timeoutMilliseconds: number) => PlatformStore;
  /** User and host, for the record of an apply. */
  readonly operator: string;
}

/** Values of a command's options by name; a flag is `true`. */
export type OptionValues = Readonly<Record<string, string | boolean | undefined>>;

/** One option of a command. */
export interface OptionDefinition {
  readonly name: string;
  /** Name of the value in the help, as `URL`; a flag without a value has none. */
  readonly valueName?: string;
  readonly description: string;
  /** Environment variable that gives the value when the option is absent. */
  readonly environment?: string;
}

/** What a command is given: its positional arguments and its options. */
export interface CommandInput {
  readonly positionals: readonly string[];
  readonly options: OptionValues;
}

/** One verb of the command line: the source of its help, its usage check and its reference page. */
export interface CommandDefinition {
  readonly name: string;
  /** Names of the required arguments, as `FILE`. */
  readonly positionals: readonly string[];
  readonly description: string;
  readonly options: readonly OptionDefinition[];
  /** Examples without the program's name. */
  readonly examples: readonly string[];
  readonly run: (input: CommandInput, context: CommandContext) => Promise<ExitCode>;
}
