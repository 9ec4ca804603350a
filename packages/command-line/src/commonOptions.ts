import type { CommandContext, CommandInput, OptionDefinition } from './CommandDefinition.js';

/** Prints one JSON object in place of text. */
export const jsonOption: OptionDefinition = {
  name: 'json',
  description: 'Print one JSON object on standard output in place of text',
};

/** Address of the store. */
export const storeOption: OptionDefinition = {
  name: 'store',
  valueName: 'URL',
  description: 'URL of the store',
  environment: 'HICKORYBRIDGE_STORE',
};

/** Time limit of a call to the store. */
export const timeoutOption: OptionDefinition = {
  name: 'timeout',
  valueName: 'MILLISECONDS',
  description: 'Time that one call may take',
};

/** Gives a text option, or the environment variable that stands for it. */
export function textOption(
  option: OptionDefinition,
  input: CommandInput,
  context: CommandContext,
): string | undefined {
  const value = input.options[option.name];
  if (typeof value === 'string') return value;
  return option.environment === undefined ? undefined : context.environment[option.environment];
}

/** Tells whether a flag is set. */
export function isSet(option: OptionDefinition, input: CommandInput): boolean {
  return input.options[option.name] === true;
}
