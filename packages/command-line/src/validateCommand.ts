import type { CommandDefinition } from './CommandDefinition.js';
import { isSet, jsonOption } from './commonOptions.js';
import { ExitCode } from './ExitCode.js';
import { readDeploymentFile } from './readDeploymentFile.js';

/** Checks a file without any outside system. */
export const validateCommand: CommandDefinition = {
  name: 'validate',
  positionals: ['FILE'],
  description: 'Check a deployment file without applying it',
  options: [jsonOption],
  examples: ['validate examples/litoteca.toml', 'validate examples/derwent.toml --json'],
  async run(input, context) {
    const json = isSet(jsonOption, input);
    const [file = ''] = input.positionals;
    const read = await readDeploymentFile(file, context, json);
    if (!read.ok) return read.exitCode;
    const { name, services } = read.deployment;
    const kinds = services.reduce((sum, service) => sum + service.kinds.length, 0);
    if (json) {
      const counts = { services: services.length, kinds };
      context.print(JSON.stringify({ result: 'valid', file, deployment: name, ...counts }));
    } else {
      context.print(
        `${file} is valid: deployment ${name}, ${services.length} services, ${kinds} kinds`,
      );
    }
    return ExitCode.done;
  },
};
