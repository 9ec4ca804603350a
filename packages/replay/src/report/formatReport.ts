import type { ReplayReport } from '../replayTrace.js';
import { formatTable } from './formatTable.js';

/** Formats the reports of some replays as a table for people. */
export function formatReports(reports: readonly ReplayReport[]): string {
  const heads = ['point', 'trace', 'faults', 'requests', 'told', 'ran', 'verdict'];
  return formatTable(heads, reports.map(rowOf));
}

/** Formats what one replay has shown, with latencies and findings. */
export function formatDetails(report: ReplayReport): string {
  const latencies = [...report.latencies].map(([kind, { count, p50, p99, max }]) => [
    kind,
    String(count),
    String(p50),
    String(p99),
    String(max),
  ]);
  const lines = [
    formatTable(['kind', 'answered', 'p50 ms', 'p99 ms', 'max ms'], latencies),
    ...[...report.accounting.problems].map(([name, count]) => `${count} x ${name}`),
    `control traffic on the idle link: ${report.idleLink.forth} B/s forth, ${report.idleLink.back} B/s back`,
    ...report.findings.map((finding) => `FAILED ${finding}`),
    ...(report.findings.length > 0 ? report.accounting.examples : []),
  ];
  return lines.join('\n');
}

/** Gives the verdict on a replay in one word. */
export function verdictOf(report: ReplayReport): 'proved' | 'failed' {
  return report.findings.length === 0 ? 'proved' : 'failed';
}

function rowOf(report: ReplayReport): string[] {
  const { accounting, trace } = report;
  const { answered, notRun, unknown, requests, ran } = accounting;
  const other = requests - answered - notRun - unknown;
  return [
    String(trace.scenario.point),
    trace.name,
    trace.scenario.faults,
    String(requests),
    `${answered} answered, ${notRun} not-run, ${unknown} unknown, ${other} cut off`,
    String(ran),
    verdictOf(report),
  ];
}
