/** Bytes of body that may be under way on one stream before the reader takes them. */
export const streamWindowBytes = 256 * 1024;

/** The reader gives credit back in steps of this size, so that credit frames stay rare. */
export const creditBatchBytes = 64 * 1024;

/** Largest piece of body in one frame; interleaves large bodies with small ones. */
export const maxBodyPieceBytes = 32 * 1024;

/** Bytes that a sender may still send. A sender waits here when there are none. */
export class CreditWindow {
  #bytes: number;

  #wake: (() => void) | undefined;

  #closed = false;

  constructor(bytes: number) {
    this.#bytes = bytes;
  }

  add(bytes: number): void {
    this.#bytes += bytes;
    this.#wake?.();
  }

  /** Ends all waiting; nothing more can be sent. */
  close(): void {
    this.#closed = true;
    this.#wake?.();
  }

  /** Waits for bytes that may be sent; false after the window is closed. */
  async isGranted(): Promise<boolean> {
    while (this.#bytes <= 0 && !this.#closed) {
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
      this.#wake = undefined;
    }
    return !this.#closed;
  }

  /** Takes up to `wanted` bytes, at least one; 0 after the window is closed. */
  async take(wanted: number): Promise<number> {
    if (!(await this.isGranted())) return 0;
    const taken = Math.min(wanted, this.#bytes);
    this.#bytes -= taken;
    return taken;
  }
}
