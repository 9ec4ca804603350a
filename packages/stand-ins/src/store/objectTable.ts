import type { StoredObject, WriteOutcome } from '@hickorybridge/store';

interface Revised extends StoredObject {
  readonly revision: number;
}

/** The condition of a write; `undefined` writes in any case. */
export type ExpectedVersion = number | undefined;

/** The objects of the stand-in store, with a revision that rises with each write. */
export class ObjectTable {
  readonly #objects = new Map<string, Revised>();

  #revision = 0;

  get revision(): number {
    return this.#revision;
  }

  read(key: string): StoredObject | undefined {
    return this.#objects.get(key);
  }

  write(key: string, value: string, expected: ExpectedVersion): WriteOutcome {
    const current = this.#objects.get(key);
    const version = current?.version ?? 0;
    if (expected !== undefined && expected !== version) return { type: 'refused', current };
    this.#revision += 1;
    const written = { key, value, version: version + 1, revision: this.#revision };
    this.#objects.set(key, written);
    return { type: 'done', version: written.version };
  }

  /** Lists the objects under a prefix that changed after a revision, sorted by key. */
  changedSince(prefix: string, revision: number): StoredObject[] {
    return [...this.#objects.values()]
      .filter((object) => object.key.startsWith(prefix) && object.revision > revision)
      .sort((first, second) => (first.key < second.key ? -1 : 1))
      .map(({ key, value, version }) => ({ key, value, version }));
  }
}
