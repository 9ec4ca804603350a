import sade from 'sade';
import type { CommandDefinition, OptionDefinition } from './CommandDefinition.js';
import { version } from './version.js';

/** Prints the stack trace of an unexpected error. */
export const stackOption: OptionDefinition = {
  name: 'stack',
  description: 'Print the stack trace of an unexpected error',
};

/**
 * Makes the sade program of all commands. For parsing, the arguments are declared as optional,
 * because sade ends the process itself, with exit code 1, when a required one is missing.
 */
export function makeProgram(
  commands: readonly CommandDefinition[],
  purpose: 'help' | 'parsing',
): sade.Sade {
  const program = sade('hickorybridge').version(version);
  for (const command of commands) {
    const names = command.positionals.map((name) =>
      purpose === 'help' ? `<${name}>` : `[${name}]`,
    );
    program.command([command.name, ...names].join(' '), command.description);
    [...command.options, stackOption].forEach((option) =>
      program.option(`--${option.name}`, describeOption(option)),
    );
    command.examples.forEach((example) => program.example(example));
    program.action(() => {});
  }
  return program;
}

/** Describes an option with the name of its value and the variable that stands for it. */
export function describeOption(option: OptionDefinition): string {
  const value = option.valueName === undefined ? '' : `${option.valueName}: `;
  const environment = option.environment === undefined ? '' : ` (or ${option.environment})`;
  return `${value}${option.description}${environment}`;
}
