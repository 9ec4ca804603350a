/** Notes when deployments take effect at nodes and counts those that go back. */
export class DeploymentObserver {
  readonly #numbers = new Map<string, number>();

  #reverted = 0;

  #lastAt = 0;

  /** Deployments that took effect after one with the same or a higher number. */
  get reverted(): number {
    return this.#reverted;
  }

  /** Time of the last change, in milliseconds. */
  get lastAt(): number {
    return this.#lastAt;
  }

  /** Notes that a deployment has taken effect at a node. */
  note(nodeId: string, number: number, at: number): void {
    if (number <= (this.#numbers.get(nodeId) ?? 0)) this.#reverted += 1;
    this.#numbers.set(nodeId, number);
    this.#lastAt = at;
  }

  /** Forgets a node that has ended. */
  forget(nodeId: string): void {
    this.#numbers.delete(nodeId);
  }

  /** Whether a number of nodes have a deployment. */
  isInEffect(number: number, nodes: number): boolean {
    if (this.#numbers.size < nodes) return false;
    return [...this.#numbers.values()].every((value) => value === number);
  }
}
