/** Lines are dropped while more than this is buffered for a reader that is too slow. */
const maxBufferedBytes = 256 * 1024;

/**
 * Writes log lines to standard output. Lines are dropped and counted when the reader falls behind, so
 * that a slow reader neither blocks the process nor fills its memory. Lines that cannot be written,
 * because the reader has ended or a disk is full, are dropped as well and do not end the process.
 */
export class StandardOutput {
  #dropped = 0;

  constructor() {
    process.stdout.on('error', () => {
      this.#dropped += 1;
    });
    // Messages of the runtime go there.
    process.stderr.on('error', () => {});
  }

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
