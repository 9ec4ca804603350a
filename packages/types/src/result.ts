/** The outcome of an operation that can fail in an expected way. */
export type Result<Value, Failure> =
  { readonly ok: true; readonly value: Value } | { readonly ok: false; readonly error: Failure };

/** Creates a successful result. */
export function succeed<Value>(value: Value): { readonly ok: true; readonly value: Value } {
  return { ok: true, value };
}

/** Creates a failed result. */
export function fail<Failure>(error: Failure): { readonly ok: false; readonly error: Failure } {
  return { ok: false, error };
}
