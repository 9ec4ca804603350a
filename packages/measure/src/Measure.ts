/** What a measure gets. */
export interface MeasureContext {
  readonly seed: number;
  /** Short hash of the commit that is measured. */
  readonly commit: string;
  /** Prints a line for people. */
  readonly print: (line: string) => void;
}

/**
 * Runs one measure in bounded time. The result is printed as one JSON object; `baseline` names
 * what the figures are compared with.
 */
export type Measure = (context: MeasureContext) => Promise<MeasureResult>;

/** Figures of a measure. */
export type MeasureResult = Record<string, unknown> & { readonly baseline: unknown };
