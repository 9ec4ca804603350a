/** Names of the headers that hickorybridge reads and sets, in lower case. */
export const HeaderName = {
  /** Outcome told to the caller: `answered`, `not-run` or `unknown`. */
  outcome: 'hickorybridge-outcome',
  requestId: 'hickorybridge-request-id',
  /** Shorter deadline that the caller asks for, in milliseconds. */
  timeout: 'hickorybridge-timeout',
  /** Time that is left to a backend server, in milliseconds. */
  deadline: 'hickorybridge-deadline-ms',
  /** Number of calls above a request; a backend server copies it into its own calls. */
  depth: 'hickorybridge-depth',
  /** Tries that are permitted to a request and the calls below it; copied likewise. */
  attempts: 'hickorybridge-attempts',
  /** A backend server that sheds load states with `true` that it did not run the request. */
  notRun: 'hickorybridge-not-run',
  /** The answer is a stored one, of an earlier request with the same idempotency key. */
  replayed: 'hickorybridge-replayed',
  idempotencyKey: 'idempotency-key',
  traceparent: 'traceparent',
} as const;
