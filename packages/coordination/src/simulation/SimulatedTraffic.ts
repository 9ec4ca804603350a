/** Bytes and messages that one node has sent and received. */
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

  /** Counts a message that leaves the node. */
  countSent(bytes: number): void {
    this.#messagesSent += 1;
    this.#bytesSent += bytes;
  }

  /** Counts a message that arrives at the node. */
  countReceived(bytes: number): void {
    this.#bytesReceived += bytes;
  }
}
