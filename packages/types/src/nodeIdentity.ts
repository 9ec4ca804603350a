/** One run of a node process. A restarted node keeps its name and has a higher incarnation. */
export interface NodeIdentity {
  readonly nodeId: string;
  /** Milliseconds since the Unix epoch at the start of the process. */
  readonly incarnation: number;
}

/** An IP address and port on which a listener is reached. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}
