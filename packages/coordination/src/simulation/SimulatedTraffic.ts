/** Traffic counters of one node. */
export class SimulatedTraffic {
  #bytesSent = 0;

  #bytesReceived = 0;

  #messagesSent = 0;

  get bytesSent(): number {
    return this.#bytesSent;
  }

  get bytesReceived(): number {
    return this.#bytesReceived;
  }

  get messagesSent(): number {
    return this.#messagesSent;
  }

  /** Counts a sent message. */
  countSent(bytes: number): void {
    this.#messagesSent += 1;
    this.#bytesSent += bytes;
  }

  /** Counts a received message. */
  countReceived(bytes: number): void {
    this.#bytesReceived += bytes;
  }
}
