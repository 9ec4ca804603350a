import type { ApplyOutcome } from './applyDeployment.js';
import { applyDeployment } from './applyDeployment.js';
import type { CommandContext, CommandDefinition, OptionDefinition } from './CommandDefinition.js';
import { isSet, jsonOption, storeOption, textOption, timeoutOption } from './commonOptions.js';
import { ExitCode } from './ExitCode.js';
import { readDeploymentFile } from './readDeploymentFile.js';
import { describeStanding } from './describeStanding.js';
import { UsageError } from './UsageError.js';
import { withStore } from './withStore.js';

const expectOption: OptionDefinition = {
  name: 'expect',
  valueName: 'NUMBER',
  description: 'Refuse unless this number is the accepted one (0: none yet)',
};

/** Applies a file as a whole. */
export const applyCommand: CommandDefinition = {
  name: 'apply',
  positionals: ['FILE'],
  description: 'Check a deployment file and write it to the store as the accepted deployment',
  options: [storeOption, expectOption, timeoutOption, jsonOption],
  examples: [
    'apply examples/litoteca.toml --store http://127.0.0.1:7000',
    'apply examples/litoteca.toml --store http://127.0.0.1:7000 --expect 41',
  ],
  async run(input, context) {
    const json = isSet(jsonOption, input);
    const expectedNumber = parseNumber(textOption(expectOption, input, context));
    const [file = ''] = input.positionals;
    const read = await readDeploymentFile(file, context, json);
    if (!read.ok) return read.exitCode;
    return withStore(input, context, async (store) => {
      const { clock, operator } = context;
      const options = { store, clock, operator, text: read.text, expectedNumber };
      const outcome = await applyDeployment(options);
      if (json) context.print(JSON.stringify(toJson(outcome)));
      else printOutcome(outcome, file, context);
      return exitCodeOf(outcome);
    });
  },
};

function parseNumber(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const number = Number(text);
  if (text !== '' && Number.isInteger(number) && number >= 0) return number;
  throw new UsageError(`--expect ${JSON.stringify(text)} must be a whole number from 0`);
}

function exitCodeOf(outcome: ApplyOutcome): ExitCode {
  switch (outcome.type) {
    case 'accepted':
    case 'unchanged':
      return ExitCode.done;
    case 'refused':
      return ExitCode.refused;
    case 'failed':
      return ExitCode.failed;
    default:
      return ExitCode.unknown;
  }
}

function toJson(outcome: ApplyOutcome): object {
  switch (outcome.type) {
    case 'accepted':
    case 'unchanged':
      return {
        result: outcome.type,
        number: outcome.accepted.number,
        applyId: outcome.accepted.applyId,
      };
    default: {
      const { type, ...members } = outcome;
      return { result: type, ...members };
    }
  }
}

function printOutcome(outcome: ApplyOutcome, file: string, context: CommandContext): void {
  switch (outcome.type) {
    case 'accepted':
      context.print(`accepted ${file} as deployment number ${outcome.accepted.number}`);
      return;
    case 'unchanged':
      context.print(
        `${file} is already accepted as deployment number ${outcome.accepted.number}; nothing was written`,
      );
      return;
    case 'refused':
      context.printError(`refused: ${describeStanding(outcome.standing)}`);
      context.printError('look at the difference with `hickorybridge diff FILE`, then apply again');
      return;
    case 'replaced':
      context.printError(
        outcome.certain
          ? `accepted ${file}, but another change has replaced it: ${describeStanding(outcome.standing)}`
          : `unknown: ${file} may have been accepted for a time; now ${describeStanding(outcome.standing)}`,
      );
      return;
    case 'unknown':
      context.printError(
        `unknown: the store did not confirm the write (${outcome.detail}); it may still take effect`,
      );
      context.printError(`find out with \`hickorybridge diff ${file}\`, or apply again`);
      return;
    default:
      context.printError(`cannot apply ${file}: ${outcome.detail}; nothing was written`);
  }
}
