import { readFile } from 'node:fs/promises';
import {
  checkNodePlace,
  deploymentWarnings,
  parseNodeSettings,
} from '@hickorybridge/configuration';
import type { ConfigurationProblem, Deployment } from '@hickorybridge/configuration';
import type { CommandDefinition, OptionDefinition } from './CommandDefinition.js';
import { isSet, jsonOption, textOption } from './commonOptions.js';
import { ExitCode } from './ExitCode.js';
import { printProblems, readDeploymentFile } from './readDeploymentFile.js';
import { UsageError } from './UsageError.js';

const settingsOption: OptionDefinition = {
  name: 'settings',
  valueName: 'FILE',
  description: "Check a node's settings file as well, and that the deployment knows its place",
};

/** Checks files without any outside system. */
export const validateCommand: CommandDefinition = {
  name: 'validate',
  positionals: ['FILE'],
  description: 'Check a deployment file without applying it',
  options: [settingsOption, jsonOption],
  examples: [
    'validate examples/derwent.toml --json',
    'validate examples/litoteca.toml --settings examples/node.toml',
  ],
  async run(input, context) {
    const json = isSet(jsonOption, input);
    const [file = ''] = input.positionals;
    const read = await readDeploymentFile(file, context, json);
    if (!read.ok) return read.exitCode;
    const { deployment } = read;
    const settingsFile = textOption(settingsOption, input, context);
    if (settingsFile !== undefined) {
      const problems = await checkSettings(settingsFile, deployment);
      if (problems.length > 0) {
        printProblems(problems, context, json, settingsFile);
        return ExitCode.refused;
      }
    }
    const warnings = deploymentWarnings(deployment);
    const services = deployment.services.length;
    const kinds = deployment.services.reduce((sum, service) => sum + service.kinds.length, 0);
    if (json) {
      const members = { deployment: deployment.name, services, kinds, warnings };
      context.print(JSON.stringify({ result: 'valid', file, ...members }));
    } else {
      warnings.forEach((warning) => context.printError(`warning: ${warning}`));
      const settings = settingsFile === undefined ? '' : `; ${settingsFile} is valid with it`;
      context.print(
        `${file} is valid: deployment ${deployment.name}, ${services} services, ${kinds} kinds${settings}`,
      );
    }
    return ExitCode.done;
  },
};

async function checkSettings(
  file: string,
  deployment: Deployment,
): Promise<ConfigurationProblem[]> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new UsageError(`cannot read the settings file ${file}: ${reason}`);
  }
  const parsed = parseNodeSettings(text, file);
  return parsed.ok ? checkNodePlace(parsed.value, deployment, file) : parsed.error;
}
