import { formatTable, summarise, Told } from '@hickorybridge/replay';
import type { CallerRecord } from '@hickorybridge/replay';
import type { DemoResult } from './runDemo.js';

/** Formats what callers saw, by kind and region, and what ran where. */
export function formatResult(result: DemoResult): string {
  const groups = groupRecords(result.records);
  const rows = [...groups].sort().map(([name, records]) => rowOf(name, records));
  const heads = ['kind, region', 'requests', 'answered', 'not-run', 'unknown', 'p50 ms', 'p99 ms'];
  return `${formatTable(heads, rows)}\n\n${formatRuns(result)}`;
}

/** Formats the result as the one line of JSON that ends the demonstration. */
export function formatSummary(result: DemoResult): string {
  const { requests, answered, notRun, unknown, ranTwice, cutOff, unaccounted } = result.accounting;
  return JSON.stringify({
    requests,
    answered,
    notRun,
    unknown,
    ranTwice,
    cutOff: cutOff + unaccounted,
    configurationVersion: result.configurationVersion,
  });
}

function groupRecords(records: readonly CallerRecord[]): Map<string, CallerRecord[]> {
  const groups = new Map<string, CallerRecord[]>();
  for (const record of records) {
    const name = `${record.service}/${record.kind}, ${record.region}`;
    groups.set(name, [...(groups.get(name) ?? []), record]);
  }
  return groups;
}

function rowOf(name: string, records: readonly CallerRecord[]): string[] {
  const count = (told: Told) => String(records.filter((record) => record.told === told).length);
  const answered = records.filter((record) => record.told === Told.answered);
  const latency = summarise(answered.map((record) => record.milliseconds));
  return [
    name,
    String(records.length),
    count(Told.answered),
    count(Told.notRun),
    count(Told.unknown),
    String(latency.p50),
    String(latency.p99),
  ];
}

function formatRuns(result: DemoResult): string {
  const counts = new Map<string, number>();
  for (const { hostId } of result.runs) counts.set(hostId, (counts.get(hostId) ?? 0) + 1);
  const rows = [...counts].sort().map(([host, count]) => [host, String(count)]);
  return formatTable(['backend server', 'runs'], rows);
}
