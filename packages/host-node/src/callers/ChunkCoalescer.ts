/** Chunks below this are copied; the object of a smaller chunk takes more memory than its bytes. */
const minSeparateBytes = 1024;
const blockBytes = 4 * 1024;

/** Joins the small chunks of a body, each of which would otherwise stay in memory as an object. */
export class ChunkCoalescer {
  readonly #emit: (data: Buffer) => void;

  #block = Buffer.alloc(0);

  #start = 0;

  #end = 0;

  constructor(emit: (data: Buffer) => void) {
    this.#emit = emit;
  }

  add(chunk: Buffer): void {
    if (chunk.length >= minSeparateBytes) {
      this.flush();
      this.#emit(chunk);
      return;
    }
    if (this.#end + chunk.length > this.#block.length) {
      this.flush();
      this.#block = Buffer.allocUnsafeSlow(blockBytes);
      this.#start = 0;
      this.#end = 0;
    }
    this.#end += chunk.copy(this.#block, this.#end);
  }

  /** Emits the chunks that were joined so far. */
  flush(): void {
    if (this.#end === this.#start) return;
    const data = this.#block.subarray(this.#start, this.#end);
    this.#start = this.#end;
    this.#emit(data);
  }
}
