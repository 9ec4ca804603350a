import type { CallerExchange } from './CallerExchange.js';

/** The requests of callers that are not answered yet. */
export class OpenExchanges {
  readonly #open = new Set<CallerExchange>();

  #idleListeners: (() => void)[] = [];

  get size(): number {
    return this.#open.size;
  }

  add(exchange: CallerExchange): void {
    this.#open.add(exchange);
  }

  remove(exchange: CallerExchange): void {
    this.#open.delete(exchange);
    if (this.#open.size > 0) return;
    const listeners = this.#idleListeners;
    this.#idleListeners = [];
    for (const listener of listeners) listener();
  }

  /** Resolves when no request is open. */
  async idle(): Promise<void> {
    if (this.#open.size === 0) return;
    await new Promise<void>((resolve) => {
      this.#idleListeners.push(resolve);
    });
  }

  /** Ends the work on all open requests; each caller is told what is known. */
  cancelAll(): void {
    for (const exchange of this.#open) exchange.cancel();
  }
}
