import { fail, succeed } from '@hickorybridge/types';
import type { Result } from '@hickorybridge/types';
import { parse, TomlError } from 'smol-toml';
import type { z } from 'zod';
import type { ConfigurationProblem } from './ConfigurationProblem.js';
import { KeyLines } from './KeyLines.js';
import { problemsOfIssue } from './problemsOfIssue.js';

/** A file that agrees with its schema, and the lines of its keys for further checks. */
export interface ParsedFile<Value> {
  readonly value: Value;
  readonly keyLines: KeyLines;
}

/** Parses a TOML file and checks it against a schema. All problems are given at once. */
export function parseWithSchema<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
  file: string,
): Result<ParsedFile<z.output<Schema>>, ConfigurationProblem[]> {
  const table = parseToml(text, file);
  if (!table.ok) return table;
  const keyLines = new KeyLines(text);
  const checked = schema.safeParse(table.value);
  if (checked.success) return succeed({ value: checked.data, keyLines });
  const place = { file, keyLines, root: table.value, schema };
  return fail(checked.error.issues.flatMap((issue) => problemsOfIssue(issue, place)));
}

function parseToml(text: string, file: string): Result<unknown, ConfigurationProblem[]> {
  try {
    return succeed(parse(text));
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    return fail([problemOfTomlError(error, text, file)]);
  }
}

function problemOfTomlError(error: TomlError, text: string, file: string): ConfigurationProblem {
  const reason = (error.message.split('\n')[0] ?? '').replace(/^Invalid TOML document: /, '');
  const source = (text.split('\n')[error.line - 1] ?? '').trim();
  return {
    file,
    key: '',
    line: error.line,
    message: `the file is not valid TOML at column ${error.column}: ${reason} in ${JSON.stringify(source)}`,
    expected: 'correct this line as TOML 1.0 requires',
  };
}
