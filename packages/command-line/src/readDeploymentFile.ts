import { readFile } from 'node:fs/promises';
import { formatProblem, parseDeployment } from '@hickorybridge/configuration';
import type { ConfigurationProblem, Deployment } from '@hickorybridge/configuration';
import type { CommandContext } from './CommandDefinition.js';
import { ExitCode } from './ExitCode.js';

/** A deployment file that was read and is valid. */
export interface DeploymentFile {
  readonly ok: true;
  readonly text: string;
  readonly deployment: Deployment;
}

/** A file that cannot be used; the reason has been printed. */
export interface UnusableFile {
  readonly ok: false;
  readonly exitCode: ExitCode;
}

/** Reads and checks a deployment file, and prints what is wrong with it. */
export async function readDeploymentFile(
  file: string,
  context: CommandContext,
  json: boolean,
): Promise<DeploymentFile | UnusableFile> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    if (json) context.print(JSON.stringify({ result: 'failed', file, detail: reason }));
    context.printError(`cannot read the deployment file ${file}: ${reason}`);
    return { ok: false, exitCode: ExitCode.failed };
  }
  const parsed = parseDeployment(text, file);
  if (parsed.ok) return { ok: true, text, deployment: parsed.value };
  printProblems(parsed.error, context, json, file);
  return { ok: false, exitCode: ExitCode.refused };
}

/** Prints problems as text and, when asked for, as one JSON object. */
export function printProblems(
  problems: readonly ConfigurationProblem[],
  context: CommandContext,
  json: boolean,
  file: string,
): void {
  if (json) context.print(JSON.stringify({ result: 'refused', reason: 'invalid', file, problems }));
  problems.forEach((problem) => context.printError(formatProblem(problem)));
  const count = problems.length === 1 ? '1 problem' : `${problems.length} problems`;
  context.printError(`${file} has ${count}; nothing was changed`);
}
