/** The announcement of a backend server that it leaves. */
export interface Leave {
  readonly backendServerId: string;
  /** Start of the incarnation, in milliseconds since the Unix epoch; 0 if not known. */
  readonly startedAt: number;
}
