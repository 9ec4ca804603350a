import type { Counter } from './Counter.js';
import type { LatencyHistogram } from './LatencyHistogram.js';
import { bucketBounds } from './LatencyHistogram.js';
import type { MetricDefinition } from './MetricDefinition.js';
import type { MetricFamily } from './MetricFamily.js';

const millisecondsPerSecond = 1_000;

/** Renders a counter metric; nothing when it has no instrument yet. */
export function renderCounters(family: MetricFamily<Counter>): string {
  const { definition } = family;
  const lines = family
    .list()
    .map(({ labelValues, instrument }) =>
      renderSample(definition.name, definition.labels, labelValues, instrument.value),
    );
  return lines.length === 0 ? '' : renderHead(definition) + lines.join('');
}

/** Renders a histogram metric in seconds; nothing when it has no instrument yet. */
export function renderHistograms(family: MetricFamily<LatencyHistogram>): string {
  const { definition } = family;
  const lines = family
    .list()
    .map(({ labelValues, instrument }) => renderHistogram(definition, labelValues, instrument));
  return lines.length === 0 ? '' : renderHead(definition) + lines.join('');
}

/** Renders one number without labels. */
export function renderNumber(definition: MetricDefinition, value: number): string {
  return renderHead(definition) + renderSample(definition.name, [], [], value);
}

function renderHead({ name, help, type }: MetricDefinition): string {
  return `# HELP ${name} ${help}\n# TYPE ${name} ${type}\n`;
}

function renderHistogram(
  definition: MetricDefinition,
  labelValues: readonly string[],
  histogram: LatencyHistogram,
): string {
  const { name, labels } = definition;
  const bucketLabels = [...labels, 'le'];
  const buckets = histogram.cumulativeCounts().map((count, index) => {
    const bound = bucketBounds[index];
    const limit = bound === undefined ? '+Inf' : String(bound / millisecondsPerSecond);
    return renderSample(`${name}_bucket`, bucketLabels, [...labelValues, limit], count);
  });
  const sum = histogram.sumMilliseconds / millisecondsPerSecond;
  return [
    ...buckets,
    renderSample(`${name}_sum`, labels, labelValues, sum),
    renderSample(`${name}_count`, labels, labelValues, histogram.count),
  ].join('');
}

function renderSample(
  name: string,
  labels: readonly string[],
  values: readonly string[],
  value: number,
): string {
  const pairs = labels.map((label, index) => `${label}="${escapeValue(values[index] ?? '')}"`);
  const list = pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
  return `${name}${list} ${value}\n`;
}

function escapeValue(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}
