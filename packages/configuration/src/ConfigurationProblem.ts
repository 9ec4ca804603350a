/** One fault in a settings or deployment file, told so that it can be put right. */
export interface ConfigurationProblem {
  readonly file: string;
  /** Path of the key, as in `services[0].kinds[1].method`; empty for the file as a whole. */
  readonly key: string;
  /** Line in the file, from 1; absent when it is not known. */
  readonly line?: number | undefined;
  /** The value as TOML-like text; absent when the key is missing. */
  readonly value?: string | undefined;
  /** What is wrong. */
  readonly message: string;
  /** What would be right. */
  readonly expected: string;
}

/** Formats a problem as one line: place, key, value, what is wrong and what would be right. */
export function formatProblem(problem: ConfigurationProblem): string {
  const place = problem.line === undefined ? problem.file : `${problem.file}:${problem.line}`;
  const key = problem.key === '' ? '' : ` ${problem.key}`;
  const value = problem.value === undefined ? '' : ` = ${problem.value}`;
  const head = key === '' ? place : `${place}:${key}${value}`;
  return `${head}: ${problem.message}; ${problem.expected}`;
}
