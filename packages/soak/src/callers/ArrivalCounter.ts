/** Counts how often each request has arrived, at all backend servers. */
export class ArrivalCounter {
  readonly #counts = new Map<string, number>();

  /** Counts an arrival; gives whether it is a repeat. */
  add(id: string): boolean {
    const count = (this.#counts.get(id) ?? 0) + 1;
    this.#counts.set(id, count);
    return count > 1;
  }
}
