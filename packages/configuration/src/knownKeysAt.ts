import { z } from 'zod';
import type { KeyPath } from './keyPath.js';

/** Lists the keys that a schema permits in the table at a path. */
export function knownKeysAt(schema: z.ZodType, path: KeyPath): string[] {
  let current: unknown = unwrap(schema);
  for (const part of path) {
    if (current instanceof z.ZodArray) current = unwrap(current.element);
    else if (current instanceof z.ZodObject) current = unwrap(current.shape[part]);
  }
  return current instanceof z.ZodObject ? Object.keys(current.shape) : [];
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
