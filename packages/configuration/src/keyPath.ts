/** Path of a key in a parsed TOML file: names of tables and indices of arrays. */
export type KeyPath = readonly (string | number)[];

/** Formats a path as `services[0].kinds[1].method`. */
export function formatKeyPath(path: KeyPath): string {
  return path
    .map((part, index) => {
      if (typeof part === 'number') return `[${part}]`;
      return index === 0 ? part : `.${part}`;
    })
    .join('');
}

/** Reads the value at a path; `undefined` when there is none. */
export function valueAt(root: unknown, path: KeyPath): unknown {
  let value: unknown = root;
  for (const part of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<string | number, unknown>)[part];
  }
  return value;
}
