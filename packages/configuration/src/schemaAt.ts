import { z } from 'zod';
import type { KeyPath } from './keyPath.js';

/** Lists the keys that a schema permits in the table at a path. */
export function knownKeysAt(schema: z.ZodType, path: KeyPath): string[] {
  const table = schemaAt(schema, path);
  return table instanceof z.ZodObject ? Object.keys(table.shape) : [];
}

/** Gives the schema of the value at a path, without its default; `undefined` when there is none. */
export function schemaAt(schema: z.ZodType, path: KeyPath): z.ZodType | undefined {
  let current: unknown = unwrap(schema);
  for (const part of path) {
    if (current instanceof z.ZodArray) current = unwrap(current.element);
    else if (current instanceof z.ZodObject) current = unwrap(current.shape[part]);
    else return undefined;
  }
  return current instanceof z.ZodType ? current : undefined;
}

/** Removes the wrappers for defaults and optional values. */
function unwrap(schema: unknown): unknown {
  let current = schema;
  while (
    current instanceof z.ZodPrefault ||
    current instanceof z.ZodDefault ||
    current instanceof z.ZodOptional
  ) {
    current = current.unwrap();
  }
  return current;
}
