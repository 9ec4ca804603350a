/** One run of a node process. A restarted node keeps its name and has a higher incarnation. */
export interface NodeIdentity {
  readonly nodeId: string;
  /** Milliseconds since the Unix epoch at the start of the process. */
  readonly incarnation: number;
}

/** IP address and port of a listener. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}
