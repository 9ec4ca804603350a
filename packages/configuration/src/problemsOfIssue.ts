import type { z } from 'zod';
import type { ConfigurationProblem } from './ConfigurationProblem.js';
import type { KeyLines } from './KeyLines.js';
import type { KeyPath } from './keyPath.js';
import { formatKeyPath, valueAt } from './keyPath.js';
import { nearestName } from './nearestName.js';
import { knownKeysAt } from './knownKeysAt.js';

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
  const [message, expected] = describeIssue(issue, value);
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

function describeIssue(issue: z.core.$ZodIssue, value: unknown): readonly [string, string] {
  if (value === undefined && issue.code !== 'custom') {
    return ['the key is missing', `add it: ${expectedOf(issue)}`];
  }
  return ['the value is not valid', expectedOf(issue)];
}

function expectedOf(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return `must be ${nameOfType(issue.expected)}`;
    case 'invalid_value':
      return `must be one of ${issue.values.map((value) => JSON.stringify(value)).join(', ')}`;
    case 'too_small':
      return describeBound('at least', 'more than', issue.minimum, issue);
    case 'too_big':
      return describeBound('at most', 'less than', issue.maximum, issue);
    default:
      return issue.message;
  }
}

function describeBound(
  inclusive: string,
  exclusive: string,
  bound: number | bigint,
  issue: { readonly origin: string; readonly inclusive?: boolean | undefined },
): string {
  const comparison = issue.inclusive === false ? exclusive : inclusive;
  if (issue.origin === 'string') return `must have ${comparison} ${bound} characters`;
  if (issue.origin === 'array') return `must have ${comparison} ${bound} entries`;
  return `must be ${comparison} ${bound}`;
}

function nameOfType(type: string): string {
  const names: Readonly<Record<string, string>> = {
    string: 'a string in quotes',
    number: 'a number',
    int: 'a whole number',
    boolean: 'true or false',
    array: 'an array',
    object: 'a table',
  };
  return names[type] ?? type;
}

function formatValue(value: unknown): string {
  const text = JSON.stringify(value, (_key, inner: unknown) =>
    typeof inner === 'bigint' ? inner.toString() : inner,
  );
  return text.length > maxValueLength ? `${text.slice(0, maxValueLength)}…` : text;
}
