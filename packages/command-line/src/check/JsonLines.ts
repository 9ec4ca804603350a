import type { FieldPath } from '@hickorybridge/platform';

const token = /"(?:[^"\\]|\\.)*"|[{}[\],:]|[^\s{}[\],:"]+/gy;
const whitespace = /\s*/y;

/** An object or array that has begun, and the member whose value comes next. */
interface Level {
  readonly path: FieldPath;
  readonly isArray: boolean;
  readonly names: Set<string>;
  readonly index: number;
  readonly name: string | undefined;
}

/** Lines of the values of a JSON text, by their place in the document. */
export class JsonLines {
  readonly #lines = new Map<string, number>();

  /** Positions of the columns, by table and name. */
  readonly #columns = new Map<string, number>();

  /** Members of objects whose name stands twice; only the last one counts. */
  readonly repeated: FieldPath[] = [];

  /** The text must be valid JSON. */
  constructor(text: string) {
    this.#scan(text);
  }

  /**
   * Line of a value, from 1, or of the innermost value around it that is found. The last name of a
   * place in a table stands for its column, which has the position that the columns give it.
   */
  lineOf(path: FieldPath): number {
    const [table, , row, name] = path;
    const column = this.#columns.get(JSON.stringify([table, name]));
    const place = column === undefined ? path : [table, 'rows', row, column];
    for (let { length } = place; length > 0; length -= 1) {
      const line = this.#lines.get(JSON.stringify(place.slice(0, length)));
      if (line !== undefined) return line;
    }
    return 1;
  }

  #scan(text: string): void {
    const levels: Level[] = [];
    let line = 1;
    let position = 0;
    while (position < text.length) {
      whitespace.lastIndex = position;
      const space = whitespace.exec(text)?.[0] ?? '';
      line += space.split('\n').length - 1;
      token.lastIndex = position + space.length;
      const found = token.exec(text)?.[0];
      if (found === undefined) return;
      position += space.length + found.length;
      this.#take(found, line, levels);
    }
  }

  #take(found: string, line: number, levels: Level[]): void {
    const level = levels.at(-1);
    if (found === '}' || found === ']') levels.pop();
    else if (found === ',' && level !== undefined) {
      levels.splice(-1, 1, { ...level, index: level.index + 1, name: undefined });
    } else if (found !== ':' && found !== ',') {
      if (level !== undefined && !level.isArray && level.name === undefined) {
        const name = JSON.parse(found) as string;
        if (level.names.has(name)) this.repeated.push([...level.path, name]);
        level.names.add(name);
        levels.splice(-1, 1, { ...level, name });
      } else this.#takeValue(found, line, levels);
    }
  }

  #takeValue(found: string, line: number, levels: Level[]): void {
    const level = levels.at(-1);
    const path = level === undefined ? [] : [...level.path, level.name ?? level.index];
    this.#lines.set(JSON.stringify(path), line);
    const [table, member, index] = path;
    if (path.length === 3 && member === 'columns' && found.startsWith('"')) {
      this.#columns.set(JSON.stringify([table, JSON.parse(found)]), Number(index));
    }
    if (found !== '{' && found !== '[') return;
    levels.push({ path, isArray: found === '[', names: new Set(), index: 0, name: undefined });
  }
}
