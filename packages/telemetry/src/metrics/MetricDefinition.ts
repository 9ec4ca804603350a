/** Types of metric in the text format of Prometheus. */
export type MetricType = 'counter' | 'gauge' | 'histogram';

/** Name, meaning and labels of a metric. */
export interface MetricDefinition {
  readonly name: string;
  readonly type: MetricType;
  readonly help: string;
  /** Names of the labels; their values are given in this order. */
  readonly labels: readonly string[];
}
