import { deploymentWarnings, formatChange } from '@hickorybridge/configuration';
import type { PlatformStore } from '@hickorybridge/store';
import type { ApplyOutcome } from './applyDeployment.js';
import { applyDeployment } from './applyDeployment.js';
import type {
  CommandContext,
  CommandDefinition,
  CommandInput,
  OptionDefinition,
} from './CommandDefinition.js';
import { isSet, jsonOption, storeOption, textOption, timeoutOption } from './commonOptions.js';
import { compareWithAccepted } from './compareWithAccepted.js';
import { isConfirmed } from './DeploymentConfirmation.js';
import { describeStanding } from './describeStanding.js';
import { ExitCode } from './ExitCode.js';
import { keyFileOption, nodeOption } from './openNode.js';
import { readDeploymentFile } from './readDeploymentFile.js';
import type { DeploymentFile } from './readDeploymentFile.js';
import { UsageError } from './UsageError.js';
import {
  waitForDeployment,
  waitLimitOption,
  waitLimitSeconds,
  waitOption,
} from './waitForDeployment.js';
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
  options: [
    storeOption,
    expectOption,
    waitOption,
    waitLimitOption,
    nodeOption,
    keyFileOption,
    timeoutOption,
    jsonOption,
  ],
  examples: [
    'apply examples/litoteca.toml --store http://127.0.0.1:7000',
    'apply examples/litoteca.toml --store http://127.0.0.1:7000 --expect 41 --wait',
  ],
  async run(input, context) {
    const json = isSet(jsonOption, input);
    const expectedNumber = parseNumber(textOption(expectOption, input, context));
    waitLimitSeconds(input, context);
    const [file = ''] = input.positionals;
    const read = await readDeploymentFile(file, context, json);
    if (!read.ok) return read.exitCode;
    deploymentWarnings(read.deployment).forEach((warning) =>
      context.printError(`warning: ${warning}`),
    );
    return withStore(input, context, async (store) => {
      const { clock, operator } = context;
      const options = { store, clock, operator, text: read.text, expectedNumber };
      const outcome = await applyDeployment(options);
      if (!json) printOutcome(outcome, file, read, context);
      return finish({ outcome, read, store, input, context });
    });
  },
};

/** An apply that has ended. */
interface EndedApply {
  readonly outcome: ApplyOutcome;
  readonly read: DeploymentFile;
  readonly store: PlatformStore;
  readonly input: CommandInput;
  readonly context: CommandContext;
}

/** Waits when that is asked for, prints the JSON object and gives the exit code. */
async function finish({ outcome, read, store, input, context }: EndedApply): Promise<ExitCode> {
  const json = isSet(jsonOption, input);
  const stands = outcome.type === 'accepted' || outcome.type === 'unchanged';
  if (!stands || !isSet(waitOption, input)) {
    if (json) context.print(JSON.stringify(toJson(outcome, read)));
    return exitCodeOf(outcome);
  }
  const { number } = outcome.accepted;
  const target = { store, deployment: read.deployment, number };
  const domains = await waitForDeployment(input, context, target);
  const inEffect = isConfirmed(domains);
  if (json) context.print(JSON.stringify({ ...toJson(outcome, read), inEffect, domains }));
  return inEffect ? ExitCode.done : ExitCode.unknown;
}

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

function toJson(outcome: ApplyOutcome, read: DeploymentFile): object {
  switch (outcome.type) {
    case 'accepted':
    case 'unchanged': {
      const { number, applyId } = outcome.accepted;
      return { result: outcome.type, number, applyId };
    }
    case 'refused':
      return {
        result: 'refused',
        reason: 'conflict',
        standing: outcome.standing,
        ...compareWithAccepted(outcome.standing, read.deployment),
      };
    default: {
      const { type, ...members } = outcome;
      return { result: type, ...members };
    }
  }
}

function printOutcome(
  outcome: ApplyOutcome,
  file: string,
  read: DeploymentFile,
  context: CommandContext,
): void {
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
      printRefusal(outcome, file, read, context);
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

function printRefusal(
  outcome: Extract<ApplyOutcome, { type: 'refused' }>,
  file: string,
  read: DeploymentFile,
  context: CommandContext,
): void {
  const { standing } = outcome;
  context.printError(`refused ${file}: ${describeStanding(standing)}`);
  const { changes, unreadable } = compareWithAccepted(standing, read.deployment);
  if (unreadable !== undefined) context.printError(unreadable);
  else context.printError(`applying ${file} over it would change:`);
  changes.forEach((change) => context.printError(`  ${formatChange(change)}`));
  context.printError(
    `take over what you want to keep, then apply with --expect ${standing?.number ?? 0}`,
  );
}
