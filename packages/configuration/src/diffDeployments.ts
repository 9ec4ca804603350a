import type { Deployment } from './Deployment.js';

/** One difference between two deployments. Services, kinds and regions are known by name. */
export interface DeploymentChange {
  /** As in `services.catalogue.kinds.read-box-record.weight`. */
  readonly key: string;
  /** The value before; absent when the key is new. */
  readonly before?: string | undefined;
  /** The value after; absent when the key is removed. */
  readonly after?: string | undefined;
}

type Table = Readonly<Record<string, unknown>>;

/** Lists what changes from one deployment to another, defaults included, in a fixed order. */
export function diffDeployments(before: Deployment, after: Deployment): DeploymentChange[] {
  return diffValues('', before, after);
}

/** Formats a change as one line: `+` for new, `-` for removed, `~` for another value. */
export function formatChange({ key, before, after }: DeploymentChange): string {
  if (before === undefined) return `+ ${key} = ${after ?? ''}`;
  if (after === undefined) return `- ${key} = ${before}`;
  return `~ ${key}: ${before} -> ${after}`;
}

function diffValues(key: string, before: unknown, after: unknown): DeploymentChange[] {
  const beforeTable = toTable(before);
  const afterTable = toTable(after);
  if (beforeTable !== undefined && afterTable !== undefined) {
    return diffTables(key, beforeTable, afterTable);
  }
  const beforeText = formatValue(before);
  const afterText = formatValue(after);
  return beforeText === afterText ? [] : [{ key, before: beforeText, after: afterText }];
}

function diffTables(key: string, before: Table, after: Table): DeploymentChange[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return names.flatMap((name) =>
    diffValues(key === '' ? name : `${key}.${name}`, before[name], after[name]),
  );
}

/** Gives a table, or an array of named tables as a table by name. */
function toTable(value: unknown): Table | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  if (!Array.isArray(value)) return value as Table;
  const entries = value.map((item: unknown) => [nameOf(item), item] as const);
  if (entries.some(([name]) => name === undefined)) return undefined;
  return Object.fromEntries(entries) as Table;
}

function nameOf(item: unknown): string | undefined {
  if (typeof item !== 'object' || item === null) return undefined;
  return String((item as Table).name);
}

function formatValue(value: unknown): string | undefined {
  return value === undefined ? undefined : JSON.stringify(value);
}
