import type { KeyPath } from './keyPath.js';
import { formatKeyPath } from './keyPath.js';

const headerPattern = /^\s*(?<open>\[\[?)\s*(?<keys>[^\]]+?)\s*\]\]?\s*(?:#.*)?$/;
const assignmentPattern = /^\s*(?<keys>[A-Za-z0-9_."'-]+(?:\s*\.\s*[A-Za-z0-9_"'-]+)*)\s*=/;

/**
 * Lines of the keys of a TOML file. It reads table headers and assignments line by line, so a key
 * inside an inline table has the line of the table's own key.
 */
export class KeyLines {
  readonly #lines = new Map<string, number>();

  /** Length of each array of tables so far. */
  readonly #arrayLengths = new Map<string, number>();

  #table: KeyPath = [];

  constructor(text: string) {
    text.split('\n').forEach((line, index) => this.#readLine(line, index + 1));
  }

  /** Gives the line of a key, or else of the nearest table around it. */
  find(path: KeyPath): number | undefined {
    for (let { length } = path; length > 0; length -= 1) {
      const line = this.#lines.get(formatKeyPath(path.slice(0, length)));
      if (line !== undefined) return line;
    }
    return undefined;
  }

  #readLine(line: string, number: number): void {
    const header = headerPattern.exec(line);
    if (header !== null) {
      this.#openTable(splitKeys(header.groups?.keys ?? ''), header.groups?.open === '[[');
      this.#record(this.#table, number);
      return;
    }
    const assignment = assignmentPattern.exec(line);
    if (assignment === null) return;
    this.#record([...this.#table, ...splitKeys(assignment.groups?.keys ?? '')], number);
  }

  #record(path: KeyPath, number: number): void {
    for (let length = 1; length <= path.length; length += 1) {
      const key = formatKeyPath(path.slice(0, length));
      if (!this.#lines.has(key)) this.#lines.set(key, number);
    }
  }

  #openTable(keys: readonly string[], isArray: boolean): void {
    const path: (string | number)[] = [];
    keys.forEach((key, index) => {
      path.push(key);
      const name = formatKeyPath(path);
      const length = this.#arrayLengths.get(name);
      if (isArray && index === keys.length - 1) {
        this.#arrayLengths.set(name, (length ?? 0) + 1);
        path.push(length ?? 0);
      } else if (length !== undefined) {
        path.push(length - 1);
      }
    });
    this.#table = path;
  }
}

function splitKeys(text: string): string[] {
  return text.split('.').map((key) => key.trim().replace(/^["']|["']$/g, ''));
}
