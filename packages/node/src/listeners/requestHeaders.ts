import type { HeaderList } from '@hickorybridge/types';

const wholeNumber = /^\d{1,9}$/;

/** The first value of each header that a request may carry for the system itself. */
export class RequestHeaders {
  readonly #headers: HeaderList;

  constructor(headers: HeaderList) {
    this.#headers = headers;
  }

  /** Gives the first value of a header; `name` is in lower case. */
  first(name: string): string | undefined {
    for (let index = 0; index + 1 < this.#headers.length; index += 2) {
      const candidate = this.#headers[index] as string;
      if (candidate.length === name.length && candidate.toLowerCase() === name) {
        return this.#headers[index + 1];
      }
    }
    return undefined;
  }

  /** Gives a whole number; `undefined` when the header is absent, `'invalid'` when it is wrong. */
  wholeNumber(name: string): number | 'invalid' | undefined {
    const text = this.first(name);
    if (text === undefined) return undefined;
    return wholeNumber.test(text.trim()) ? Number(text) : 'invalid';
  }
}
