import { deploymentWarnings } from '@hickorybridge/configuration';
import type { PlatformStore } from '@hickorybridge/store';
import type { ApplyOutcome } from './applyDeployment.js';
import { applyDeployment } from './applyDeployment.js';
import { applyOutcomeToJson, exitCodeOf, printApplyOutcome } from './reportApplyOutcome.js';
import type {
  CommandContext,
  CommandDefinition,
  CommandInput,
  OptionDefinition,
} from './CommandDefinition.js';
import { isSet, jsonOption, storeOption, textOption, timeoutOption } from './commonOptions.js';
import { isConfirmed } from './DeploymentConfirmation.js';
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
      if (!json) printApplyOutcome(outcome, { file, read, context });
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
    if (json) context.print(JSON.stringify(applyOutcomeToJson(outcome, read)));
    return exitCodeOf(outcome);
  }
  const { number } = outcome.accepted;
  const target = { store, deployment: read.deployment, number };
  const domains = await waitForDeployment(input, context, target);
  const inEffect = isConfirmed(domains);
  if (json)
    context.print(JSON.stringify({ ...applyOutcomeToJson(outcome, read), inEffect, domains }));
  return inEffect ? ExitCode.done : ExitCode.unknown;
}

function parseNumber(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const number = Number(text);
  if (text !== '' && Number.isInteger(number) && number >= 0) return number;
  throw new UsageError(`--expect ${JSON.stringify(text)} must be a whole number from 0`);
}
