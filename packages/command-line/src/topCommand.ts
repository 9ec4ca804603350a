import { fail, succeed } from '@hickorybridge/types';
import type {
  CommandContext,
  CommandDefinition,
  CommandInput,
  OptionDefinition,
} from './CommandDefinition.js';
import { isSet, jsonOption, textOption } from './commonOptions.js';
import { ExitCode } from './ExitCode.js';
import { formatTable } from './formatTable.js';
import { kindRates } from './kindRates.js';
import type { KindRate } from './kindRates.js';
import type { OperatorsClient } from './OperatorsClient.js';
import { describeNodeError, nodeOptions, openNode } from './openNode.js';
import { parseMetrics } from './parseMetrics.js';
import { UsageError } from './UsageError.js';

const intervalOption: OptionDefinition = {
  name: 'interval',
  valueName: 'SECONDS',
  description: 'Time between two readings; 2 by default',
};

const countOption: OptionDefinition = {
  name: 'count',
  valueName: 'NUMBER',
  description: 'Readings to show before the command ends; without end by default',
};

const defaultIntervalSeconds = 2;

/** Shows what the kinds of request do at one node, again and again. */
export const topCommand: CommandDefinition = {
  name: 'top',
  positionals: [],
  description: 'Show rate, outcomes and latency of each kind at a node, again and again',
  options: [...nodeOptions, intervalOption, countOption, jsonOption],
  examples: [
    'top --node http://127.0.0.1:8082',
    'top --node http://127.0.0.1:8082 --interval 10 --count 6 --json',
  ],
  async run(input, context) {
    const seconds = positiveNumber(intervalOption, input, context) ?? defaultIntervalSeconds;
    const count = positiveNumber(countOption, input, context) ?? Number.POSITIVE_INFINITY;
    const { first } = await openNode(input, context);
    let before = await readMetrics(first);
    for (let shown = 0; before.ok && shown < count; shown += 1) {
      const startedAt = context.clock.now();
      await context.clock.sleep(seconds * 1_000);
      const after = await readMetrics(first);
      if (after.ok) {
        const elapsedSeconds = (context.clock.now() - startedAt) / 1_000;
        show(kindRates(before.value, after.value, elapsedSeconds), input, context);
      }
      before = after;
    }
    if (before.ok) return ExitCode.done;
    context.printError(before.error);
    return ExitCode.failed;
  },
};

async function readMetrics(client: OperatorsClient) {
  const answer = await client.getText('/metrics');
  return answer.ok ? succeed(parseMetrics(answer.value)) : fail(describeNodeError(answer.error));
}

function show(rates: readonly KindRate[], input: CommandInput, context: CommandContext): void {
  const time = new Date(context.clock.wallTime()).toISOString();
  if (isSet(jsonOption, input)) {
    context.print(JSON.stringify({ time, kinds: rates }));
    return;
  }
  const rows = rates.map((rate) => [
    `${rate.service}/${rate.kind}`,
    formatNumber(rate.requestsPerSecond),
    formatNumber(rate.notRunShare * 100),
    formatNumber(rate.unknownShare * 100),
    formatMilliseconds(rate.p50Milliseconds),
    formatMilliseconds(rate.p99Milliseconds),
  ]);
  const head = ['kind', 'requests/s', 'not-run %', 'unknown %', 'p50 ms', 'p99 ms'];
  context.print(time);
  formatTable([head, ...rows]).forEach((line) => context.print(line));
  if (rows.length === 0) context.print('no request has come to this node yet');
  context.print('');
}

function formatNumber(value: number): string {
  return value.toFixed(1);
}

/** The values are bounds of buckets, so they are shown as such. */
function formatMilliseconds(value: number | undefined): string {
  if (value === undefined) return '-';
  return Number.isFinite(value) ? `<= ${value}` : 'above all bounds';
}

function positiveNumber(
  option: OptionDefinition,
  input: CommandInput,
  context: CommandContext,
): number | undefined {
  const text = textOption(option, input, context);
  if (text === undefined) return undefined;
  const value = Number(text);
  if (Number.isFinite(value) && value > 0) return value;
  throw new UsageError(`--${option.name} ${JSON.stringify(text)} must be a number above 0`);
}
