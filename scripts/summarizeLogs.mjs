// Sums up the logs of many nodes: how full the backend servers of each service were, and where the
// time of late and failed requests went. Reads the files that are named, or standard input.
//   node scripts/summarizeLogs.mjs [--from SECONDS] [--to SECONDS] [FILE...]
// A line may have any text before its JSON object. Times count from the first request that failed,
// was late, or was served; --from and --to choose a part of them.
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { parseArgs } from 'node:util';

const { positionals: files, values } = parseArgs({
  allowPositionals: true,
  options: { from: { type: 'string' }, to: { type: 'string' } },
});
const from = Number(values.from ?? 0);
const to = Number(values.to ?? Infinity);

const places = new Map();
const limits = new Map();
const usage = [];
const late = [];
const finished = [];

function take(line) {
  const start = line.indexOf('{');
  if (start === -1) return;
  let entry;
  try {
    entry = JSON.parse(line.slice(start));
  } catch {
    // Text of other programs.
    return;
  }
  const { event, node } = entry;
  const at = Date.parse(entry.time) / 1000;
  if (event === 'node-started') places.set(node, `${entry.service} ${entry.region}`);
  if (event === 'backend-server-joined') limits.set(node, entry.slots);
  if (event === 'backend-server-usage') usage.push({ ...entry, at });
  if (event === 'request-late-here') late.push({ ...entry, at });
  if (event === 'request-finished') finished.push({ ...entry, at });
}

function groupBy(entries, keyOf) {
  const groups = new Map();
  for (const entry of entries) {
    const key = keyOf(entry);
    if (!groups.has(key)) groups.set(key, []);
    groups.get(key).push(entry);
  }
  return [...groups].sort(([first], [second]) => first.localeCompare(second));
}

function sumOf(entries, valueOf) {
  return entries.reduce((sum, entry) => sum + valueOf(entry), 0);
}

function quantile(numbers, share) {
  const sorted = [...numbers].sort((first, second) => first - second);
  return sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
}

/** Waiting time in one second that free slots of the same service and region could have served. */
function avoidableIn(entries, nodes) {
  const waiting = sumOf(entries, (entry) => entry.waitingMilliseconds);
  const busy = new Map(entries.map((entry) => [entry.node, entry]));
  const free = sumOf(nodes, (node) => {
    const entry = busy.get(node);
    if (entry === undefined) return (limits.get(node) ?? 0) * 1000;
    return Math.max(0, entry.limit * entry.milliseconds - entry.inFlightMilliseconds);
  });
  return Math.min(waiting, free);
}

function printUsage(entries) {
  console.log('service and region: hosts, in flight, full, waiting, of that beside free slots');
  for (const [place, group] of groupBy(entries, ({ node }) => places.get(node) ?? 'unknown')) {
    const nodes = [...places].filter(([, other]) => other === place).map(([node]) => node);
    const seconds = groupBy(group, ({ at }) => String(Math.floor(at)));
    const span = seconds.length * 1000 * nodes.length;
    const inFlight = sumOf(group, (entry) => entry.inFlightMilliseconds) / span;
    const full = sumOf(group, (entry) => entry.fullMilliseconds) / span;
    const waiting = sumOf(group, (entry) => entry.waitingMilliseconds) / 1000;
    const avoidable = sumOf(seconds, ([, part]) => avoidableIn(part, nodes)) / 1000;
    console.log(
      `  ${place}: ${nodes.length}, ${inFlight.toFixed(2)} a host, ${(full * 100).toFixed(1)}% of the time, ${waiting.toFixed(1)} s, ${avoidable.toFixed(1)} s`,
    );
  }
}

function printFinished(entries) {
  console.log('route: late and failed requests by result (first depth only)');
  const outer = entries.filter(({ depth, route }) => depth === 0 && route !== '');
  for (const [route, group] of groupBy(outer, (entry) => entry.route)) {
    const results = groupBy(group, ({ result }) => (result === '200' ? 'late' : result));
    console.log(
      `  ${route}: ${results.map(([name, { length }]) => `${name} ${length}`).join(', ')}`,
    );
  }
}

function printLate(entries) {
  console.log('route at its host, median and 90th percentile in ms: queued, ran, calls; in flight');
  for (const [route, group] of groupBy(entries, (entry) => `${entry.route} ${entry.outcome}`)) {
    const spread = (name) =>
      [0.5, 0.9]
        .map((share) =>
          quantile(
            group.map((entry) => entry[name] ?? 0),
            share,
          ),
        )
        .join('/');
    console.log(
      `  ${route}: ${group.length}, ${spread('queuedMilliseconds')}, ${spread('ranMilliseconds')}, ${spread('callsMilliseconds')}; ${spread('inFlight')}`,
    );
  }
}

const inputs = files.length === 0 ? [process.stdin] : files.map((file) => createReadStream(file));
for (const input of inputs) {
  for await (const line of createInterface({ input })) take(line);
}
const start = [...usage, ...finished, ...late].reduce(
  (first, { at }) => Math.min(first, at),
  Infinity,
);
const isWanted = ({ at }) => at - start >= from && at - start < to;
printUsage(usage.filter(isWanted));
printFinished(finished.filter(isWanted));
printLate(late.filter(isWanted));
