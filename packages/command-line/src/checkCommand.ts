import { readFile } from 'node:fs/promises';

import { compareConfigurations } from './check/compareConfigurations.js';
import { FindingKind, formatFieldPath, type Finding } from './check/Finding.js';
import { findProblems, type CheckedConfiguration } from './check/findProblems.js';
import { JsonLines } from './check/JsonLines.js';
import type { CommandDefinition, OptionDefinition } from './CommandDefinition.js';
import { isSet, jsonOption, textOption } from './commonOptions.js';
import { ExitCode } from './ExitCode.js';
import { UsageError } from './UsageError.js';

const againstOption: OptionDefinition = {
  name: 'against',
  valueName: 'FILE',
  description: 'Show the differences from the version in force, which this file holds',
};

/** A finding with the place that an editor can open. */
interface PlacedFinding {
  readonly kind: FindingKind;
  readonly file: string;
  readonly line: number;
  readonly key: string;
  readonly detail: string;
}

interface CheckedFile {
  readonly checked: CheckedConfiguration;
  readonly findings: readonly PlacedFinding[];
}

/** Checks a configuration of the users' platform with the checks of the nodes. */
export const checkCommand: CommandDefinition = {
  name: 'check',
  positionals: ['FILE'],
  description:
    "Check a configuration of the users' platform before it is submitted; ends with 1 if anything is found",
  options: [againstOption, jsonOption],
  examples: ['check main.json', 'check main.json --against in-force.json --json'],
  async run(input, context) {
    const [file = ''] = input.positionals;
    const againstFile = textOption(againstOption, input, context);
    const { checked, findings: own } = checkText(file, await readText(file));
    const against =
      againstFile === undefined
        ? undefined
        : checkText(againstFile, await readText(againstFile)).checked.configuration;
    const findings = [...own];
    let differences: readonly string[] | undefined;
    if (againstFile !== undefined && against === undefined) {
      const detail = 'is not valid, so that there is nothing to compare with';
      findings.push({ kind: FindingKind.error, file: againstFile, line: 1, key: '', detail });
    } else if (against !== undefined && checked.configuration !== undefined) {
      differences = compareConfigurations(against, checked.configuration);
      if (differences.length > 0 && checked.configuration.version <= against.version) {
        const detail = `nodes keep version ${against.version}; a change needs a higher number`;
        findings.push({ kind: FindingKind.version, file, line: 1, key: 'version', detail });
      }
    }
    if (isSet(jsonOption, input)) {
      const result = findings.length === 0 ? 'valid' : 'findings';
      context.print(JSON.stringify({ result, file, findings, differences }));
    } else {
      for (const { detail, file: place, key, kind, line } of findings) {
        context.print(`${place}:${line}: ${key === '' ? '' : `${key}: `}${detail} (${kind})`);
      }
      differences?.forEach((difference) => context.print(difference));
      if (findings.length === 0) context.print(`${file} is valid`);
    }
    return findings.length === 0 ? ExitCode.done : ExitCode.failed;
  },
};

async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new UsageError(`cannot read the configuration ${file}: ${reason}`);
  }
}

function checkText(file: string, text: string): CheckedFile {
  const checked = findProblems(text);
  const lines = readLines(text);
  const repeated = (lines instanceof JsonLines ? lines.repeated : []).map((path): Finding => {
    const detail = 'stands twice, and only the last one counts';
    return { kind: FindingKind.neverMatches, path, detail };
  });
  const findings = [...checked.findings, ...repeated].map(({ detail, kind, path }) => ({
    kind,
    file,
    line: lines instanceof JsonLines ? lines.lineOf(path) : lines,
    key: formatFieldPath(path),
    detail,
  }));
  return { checked, findings };
}

/** Lines of the values, or that of the syntax error if the text is no JSON. */
function readLines(text: string): JsonLines | number {
  try {
    JSON.parse(text);
  } catch (error) {
    return text.slice(0, positionOfError(text, String(error))).split('\n').length;
  }
  return new JsonLines(text);
}

/** The parser quotes ten characters on either side of an error. */
const excerptMargin = 10;

/** The parser names the position of an error, quotes the text around it, or means its end. */
function positionOfError(text: string, message: string): number {
  const position = /at position (\d+)/.exec(message)?.[1];
  if (position !== undefined) return Number(position);
  const excerpt = /, (\.{3})?"(.*)"(?:\.{3})? is not valid JSON$/s.exec(message);
  if (excerpt === null) return text.length;
  const [, dots, quoted = ''] = excerpt;
  return text.indexOf(quoted) + (dots === undefined ? 0 : excerptMargin);
}
