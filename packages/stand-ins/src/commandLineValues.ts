import { parseArgs } from 'node:util';

/** Reads `--name value` pairs of a stand-in's process. */
export function commandLineValues(names: readonly string[]): Record<string, string | undefined> {
  const options = Object.fromEntries(names.map((name) => [name, { type: 'string' as const }]));
  return parseArgs({ options, strict: true }).values;
}
