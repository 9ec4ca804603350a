import type { Readable } from 'node:stream';

import { keepErrorAsState } from './AnswerBody.js';

/**
 * The body of a request that is too long to be held in memory. It has at most one reader: two would
 * divide its bytes between two backend servers.
 */
export class StreamedBody {
  readonly #stream: Readable;

  #taken = false;

  constructor(stream: Readable) {
    this.#stream = keepErrorAsState(stream);
  }

  /** Whether a reader can still get the whole body. */
  get available(): boolean {
    return !this.#taken && !this.#stream.destroyed;
  }

  /** Hands over the stream to its reader; `undefined` if it has one already or has broken off. */
  take(): Readable | undefined {
    if (!this.available) return undefined;
    this.#taken = true;
    return this.#stream;
  }
}
