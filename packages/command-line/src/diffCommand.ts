import { deploymentKey, formatChange, parseAcceptedDeployment } from '@hickorybridge/configuration';
import type { AcceptedDeployment } from '@hickorybridge/configuration';
import { fail, succeed } from '@hickorybridge/types';
import type { Result } from '@hickorybridge/types';
import type { PlatformStore } from '@hickorybridge/store';
import type { CommandContext, CommandDefinition } from './CommandDefinition.js';
import { isSet, jsonOption, storeOption, timeoutOption } from './commonOptions.js';
import { compareWithAccepted } from './compareWithAccepted.js';
import type { Comparison } from './compareWithAccepted.js';
import { describeStanding } from './describeStanding.js';
import { ExitCode } from './ExitCode.js';
import { readDeploymentFile } from './readDeploymentFile.js';
import { withStore } from './withStore.js';

/** Compares a file with the accepted deployment. */
export const diffCommand: CommandDefinition = {
  name: 'diff',
  positionals: ['FILE'],
  description: 'Show what applying a file would change',
  options: [storeOption, timeoutOption, jsonOption],
  examples: ['diff examples/litoteca.toml --store http://127.0.0.1:7000'],
  async run(input, context) {
    const json = isSet(jsonOption, input);
    const [file = ''] = input.positionals;
    const read = await readDeploymentFile(file, context, json);
    if (!read.ok) return read.exitCode;
    return withStore(input, context, async (store) => {
      const accepted = await readAccepted(store);
      if (!accepted.ok) {
        context.printError(`cannot read the accepted deployment: ${accepted.error}`);
        return ExitCode.failed;
      }
      const comparison = compareWithAccepted(accepted.value, read.deployment);
      const sameText = accepted.value?.text === read.text;
      if (json) {
        const standing = accepted.value && { ...accepted.value, text: undefined };
        context.print(JSON.stringify({ standing, sameText, ...comparison }));
      } else {
        printComparison(accepted.value, sameText, comparison, context);
      }
      return comparison.unreadable === undefined ? ExitCode.done : ExitCode.failed;
    });
  },
};

async function readAccepted(
  store: PlatformStore,
): Promise<Result<AcceptedDeployment | undefined, string>> {
  const read = await store.read(deploymentKey);
  if (!read.ok) return fail(read.error.detail);
  return read.value === undefined ? succeed(undefined) : parseAcceptedDeployment(read.value.value);
}

function printComparison(
  accepted: AcceptedDeployment | undefined,
  sameText: boolean,
  comparison: Comparison,
  context: CommandContext,
): void {
  context.print(describeStanding(accepted));
  if (comparison.unreadable !== undefined) context.printError(comparison.unreadable);
  else if (sameText) context.print('the file is the accepted deployment');
  else if (comparison.changes.length === 0) {
    context.print('the file differs in comments, order or formatting only');
  }
  comparison.changes.forEach((change) => context.print(formatChange(change)));
}
