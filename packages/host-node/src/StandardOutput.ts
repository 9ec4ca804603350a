/** Bytes that may wait for a reader before lines are left out. */
const maxBufferedBytes = 256 * 1024;

/** Writes log lines to standard output. A reader that does not read loses lines and blocks nothing. */
export class StandardOutput {
  #dropped = 0;

  write(line: string): void {
    if (process.stdout.writableLength > maxBufferedBytes) {
      this.#dropped += 1;
      return;
    }
    if (this.#dropped > 0) {
      const event = { event: 'log-lines-dropped', count: this.#dropped };
      this.#dropped = 0;
      process.stdout.write(`${JSON.stringify(event)}\n`);
    }
    process.stdout.write(`${line}\n`);
  }
}
