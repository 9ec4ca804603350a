import type { StoredObject, WatchResult } from './PlatformStore.js';

/** Reads the version out of an `ETag` header, for example `"12"`. */
export function parseVersion(entityTag: string | undefined): number | undefined {
  const match = /^"(\d+)"$/.exec(entityTag ?? '');
  return match === null ? undefined : Number(match[1]);
}

/** Reads the answer of a list call; `undefined` when it has another shape. */
export function parseObjects(body: string): readonly StoredObject[] | undefined {
  const value = parseJson(body);
  return isObjectList(value) ? value : undefined;
}

/** Reads the answer of a watch call; `undefined` when it has another shape. */
export function parseWatchResult(body: string): WatchResult | undefined {
  const value = parseJson(body);
  if (typeof value !== 'object' || value === null) return undefined;
  if (!('revision' in value) || !('changed' in value)) return undefined;
  if (typeof value.revision !== 'number' || !isObjectList(value.changed)) return undefined;
  return { revision: value.revision, changed: value.changed };
}

function parseJson(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
}

function isObjectList(value: unknown): value is readonly StoredObject[] {
  return Array.isArray(value) && value.every(isStoredObject);
}

function isStoredObject(value: unknown): value is StoredObject {
  if (typeof value !== 'object' || value === null) return false;
  if (!('key' in value) || !('value' in value) || !('version' in value)) return false;
  return (
    typeof value.key === 'string' &&
    typeof value.value === 'string' &&
    typeof value.version === 'number'
  );
}
