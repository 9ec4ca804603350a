import { mkdir, writeFile } from 'node:fs/promises';
import path from 'node:path';
import type { CommandContext, CommandDefinition, OptionDefinition } from './CommandDefinition.js';
import { isSet, jsonOption, textOption } from './commonOptions.js';
import { ExitCode } from './ExitCode.js';
import { deploymentTemplate, nodeTemplate } from './initTemplates.js';

const directoryOption: OptionDefinition = {
  name: 'directory',
  valueName: 'DIRECTORY',
  description: 'Where to write; the current directory by default',
};

/** Writes files to start from. */
export const initCommand: CommandDefinition = {
  name: 'init',
  positionals: [],
  description: 'Write a deployment file and a node settings file to start from',
  options: [directoryOption, jsonOption],
  examples: ['init', 'init --directory my-deployment'],
  async run(input, context) {
    const directory = textOption(directoryOption, input, context) ?? '.';
    const json = isSet(jsonOption, input);
    const files = [
      { file: path.join(directory, 'deployment.toml'), text: deploymentTemplate },
      { file: path.join(directory, 'node.toml'), text: nodeTemplate },
    ];
    const written: string[] = [];
    for (const { file, text } of files) {
      const problem = await writeNew(file, text);
      if (problem !== undefined) return reportProblem(problem, written, json, context);
      written.push(file);
    }
    if (json) context.print(JSON.stringify({ result: 'written', files: written }));
    else {
      written.forEach((file) => context.print(`wrote ${file}`));
      context.print(`check with: hickorybridge validate ${written.join(' --settings ')}`);
    }
    return ExitCode.done;
  },
};

interface WriteProblem {
  readonly exists: boolean;
  readonly detail: string;
}

/** Writes a file that must not exist yet. */
async function writeNew(file: string, text: string): Promise<WriteProblem | undefined> {
  try {
    await mkdir(path.dirname(file), { recursive: true });
    await writeFile(file, text, { flag: 'wx' });
    return undefined;
  } catch (error) {
    const exists = error instanceof Error && 'code' in error && error.code === 'EEXIST';
    const reason = error instanceof Error ? error.message : String(error);
    const detail = exists
      ? `${file} exists already and was left as it is: choose another --directory`
      : `cannot write ${file}: ${reason}`;
    return { exists, detail };
  }
}

function reportProblem(
  problem: WriteProblem,
  written: readonly string[],
  json: boolean,
  context: CommandContext,
): ExitCode {
  const result = problem.exists ? 'refused' : 'failed';
  if (json) context.print(JSON.stringify({ result, detail: problem.detail, files: written }));
  context.printError(problem.detail);
  written.forEach((file) => context.printError(`${file} was written before that`));
  return problem.exists ? ExitCode.refused : ExitCode.failed;
}
