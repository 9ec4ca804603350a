import { match, P } from 'ts-pattern';
import type { z } from 'zod';
import type { ConfigurationProblem } from './ConfigurationProblem.js';
import { describeSchema } from './describeSchema.js';
import type { KeyLines } from './KeyLines.js';
import type { KeyPath } from './keyPath.js';
import { formatKeyPath, valueAt } from './keyPath.js';
import { nearestName } from './nearestName.js';
import { knownKeysAt, schemaAt } from './schemaAt.js';

/** The file that an issue belongs to. */
export interface IssuePlace {
  readonly file: string;
  readonly keyLines: KeyLines;
  /** The parsed TOML before the schema was applied. */
  readonly root: unknown;
  readonly schema: z.ZodType;
}

const maxValueLength = 80;

/** Translates one issue of zod into problems; each unknown key is a problem of its own. */
export function problemsOfIssue(
  issue: z.core.$ZodIssue,
  place: IssuePlace,
): ConfigurationProblem[] {
  const path = issue.path.map((part) => (typeof part === 'number' ? part : String(part)));
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => problemOfUnknownKey(key, path, place));
  }
  const value = valueAt(place.root, path);
  const [message, expected] = describeIssue(issue, path, value, place);
  return [
    {
      file: place.file,
      key: formatKeyPath(path),
      line: place.keyLines.find(path),
      value: value === undefined ? undefined : formatValue(value),
      message,
      expected,
    },
  ];
}

function problemOfUnknownKey(key: string, path: KeyPath, place: IssuePlace): ConfigurationProblem {
  const known = knownKeysAt(place.schema, path);
  const nearest = nearestName(key, known);
  const full = [...path, key];
  return {
    file: place.file,
    key: formatKeyPath(full),
    line: place.keyLines.find(full),
    value: formatValue(valueAt(place.root, full)),
    message: 'unknown key',
    expected:
      nearest === undefined
        ? `known keys here are ${known.join(', ')}`
        : `did you mean "${nearest}"?`,
  };
}

/** What is wrong and what would be right. The message of a rule of our own says the latter. */
function describeIssue(
  issue: z.core.$ZodIssue,
  path: KeyPath,
  value: unknown,
  place: IssuePlace,
): readonly [string, string] {
  const schema = schemaAt(place.schema, path);
  const permitted = schema === undefined ? issue.message : describeSchema(schema);
  if (value === undefined) return ['the key is missing', `add it; it is ${permitted}`];
  const outOfRange = ['the value is out of range', `use ${permitted}`] as const;
  return match<z.core.$ZodIssue, readonly [string, string]>(issue)
    .with({ code: P.union('custom', 'invalid_format') }, ({ message }) => [
      'the value is not valid',
      `it ${message}`,
    ])
    .with({ code: 'too_small', origin: 'array' }, () => ['the array is empty', 'add an entry'])
    .with({ code: 'too_small', origin: 'string' }, ({ minimum }) => [
      'the text is too short',
      `use at least ${minimum} characters`,
    ])
    .with({ code: 'too_big', origin: 'array' }, ({ maximum }) => [
      'the array is too long',
      `use at most ${maximum} entries`,
    ])
    .with({ code: P.union('too_small', 'too_big') }, () => outOfRange)
    .otherwise(() => ['the value is not valid', `use ${permitted}`]);
}

function formatValue(value: unknown): string {
  // TOML has numbers that JSON lacks.
  if (typeof value === 'number' && !Number.isFinite(value)) return String(value).toLowerCase();
  const text = JSON.stringify(value, (_key, inner: unknown) =>
    typeof inner === 'bigint' ? inner.toString() : inner,
  );
  return text.length > maxValueLength ? `${text.slice(0, maxValueLength)}…` : text;
}
