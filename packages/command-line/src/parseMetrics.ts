/** One sample of the text format of Prometheus. */
export interface MetricSample {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const samplePattern = /^(?<name>[A-Za-z_:][\w:]*)(?:\{(?<labels>.*)\})? (?<value>\S+)$/;
const labelPattern = /(?<name>\w+)="(?<value>(?:[^"\\]|\\.)*)"/g;

/** Parses the samples; comments and malformed lines are left out. */
export function parseMetrics(text: string): MetricSample[] {
  return text.split('\n').flatMap((line) => {
    const groups = samplePattern.exec(line)?.groups;
    if (groups === undefined) return [];
    const { name = '', labels = '', value = '' } = groups;
    return [{ name, labels: parseLabels(labels), value: Number(value) }];
  });
}

function parseLabels(text: string): Record<string, string> {
  const labels: Record<string, string> = {};
  for (const match of text.matchAll(labelPattern)) {
    const { name = '', value = '' } = match.groups ?? {};
    labels[name] = value.replaceAll(/\\(.)/g, (_, character: string) =>
      character === 'n' ? '\n' : character,
    );
  }
  return labels;
}
