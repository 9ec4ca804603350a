/** Reads the fields of a decoded array in order and checks the type of each. */
export class WireReader {
  readonly #items: readonly unknown[];

  #position = 0;

  constructor(items: readonly unknown[]) {
    this.#items = items;
  }

  any(): unknown {
    const item = this.#items[this.#position];
    this.#position += 1;
    return item;
  }

  number(): number {
    const item = this.any();
    if (typeof item === 'number' && Number.isFinite(item)) return item;
    throw this.#wrongType('a finite number', item);
  }

  optionalNumber(): number | undefined {
    const item = this.#items[this.#position];
    if (item !== undefined && item !== null) return this.number();
    this.#position += 1;
    return undefined;
  }

  /** A stream or call number, or a count of bytes. */
  count(): number {
    const item = this.any();
    if (Number.isSafeInteger(item) && (item as number) >= 0) return item as number;
    throw this.#wrongType('a count', item);
  }

  optionalCount(): number | undefined {
    const item = this.#items[this.#position];
    if (item !== undefined && item !== null) return this.count();
    this.#position += 1;
    return undefined;
  }

  string(): string {
    const item = this.any();
    if (typeof item === 'string') return item;
    throw this.#wrongType('a string', item);
  }

  optionalString(): string | undefined {
    const item = this.any();
    if (item === undefined || item === null) return undefined;
    if (typeof item === 'string') return item;
    throw this.#wrongType('a string', item);
  }

  /** False if the field is missing, as in frames of older nodes. */
  optionalFlag(): boolean {
    const item = this.#items[this.#position];
    if (item !== undefined && item !== null) return this.boolean();
    this.#position += 1;
    return false;
  }

  boolean(): boolean {
    const item = this.any();
    if (typeof item === 'boolean') return item;
    throw this.#wrongType('a boolean', item);
  }

  bytes(): Buffer {
    const item = this.any();
    if (item instanceof Uint8Array) {
      return Buffer.from(item.buffer, item.byteOffset, item.byteLength);
    }
    throw this.#wrongType('bytes', item);
  }

  optionalBytes(): Buffer | undefined {
    const item = this.#items[this.#position];
    if (item !== undefined && item !== null) return this.bytes();
    this.#position += 1;
    return undefined;
  }

  strings(): string[] {
    const item = this.any();
    if (Array.isArray(item) && item.every((entry) => typeof entry === 'string')) return item;
    throw this.#wrongType('a list of strings', item);
  }

  /** A list of names and values in turn. */
  headerList(): string[] {
    const item = this.strings();
    if (item.length % 2 === 0) return item;
    throw this.#wrongType('an even number of header names and values', item.length);
  }

  nested(): WireReader | undefined {
    const item = this.any();
    if (item === undefined || item === null) return undefined;
    if (Array.isArray(item)) return new WireReader(item);
    throw this.#wrongType('an array', item);
  }

  #wrongType(expected: string, item: unknown): TypeError {
    return new TypeError(`field ${this.#position - 1} is ${typeof item}, expected ${expected}`);
  }
}
