import type { MeshBounds } from '../mesh/meshShape.js';
import { Rule, type Breach, type CheckResult } from './Breach.js';
import { isInTouch, type Disruptions } from './disruptions.js';
import type { RequestTrace, RunIndex } from './RunIndex.js';
import { overlaps } from './Spans.js';

/** More requests than this on more backend servers than `max_attempts` break the rule. */
const requestsOnTooMany = 3;
const deadlineSlackMilliseconds = 500;
/** More arrivals than this, and than this share of all, with too long a deadline break the rule. */
const arrivalsTooLong = 20;
const shareTooLong = 0.2;

/** Rule BUDGET: repeats, backend servers for each request, and time handed on. */
export function findBudgetBreaches(
  index: RunIndex,
  disruptions: Disruptions,
  bounds: MeshBounds,
): CheckResult {
  const parts = [
    findRepeats(index, bounds),
    findTooManyBackends(index, disruptions),
    findLongDeadlines(index, disruptions, bounds),
  ];
  return {
    breaches: parts.flatMap(({ breaches }) => breaches),
    counts: Object.assign({}, ...parts.map(({ counts }) => counts)) as Record<string, number>,
  };
}

/** Compares the repeats of each service with its budget, in each window that ends with a repeat. */
function findRepeats({ requests }: RunIndex, bounds: MeshBounds): CheckResult {
  const traces = [...requests.values()];
  const breaches: Breach[] = [];
  let repeats = 0;
  let highest = 0;
  let highestOfCallers = 0;
  for (const service of new Set(traces.map(({ sent }) => sent.service))) {
    const own = traces.filter(({ sent }) => sent.service === service);
    const sent = own
      .filter((trace) => trace.sent.belowRepeat !== true)
      .map((trace) => trace.sent.at)
      .sort((first, second) => first - second);
    const sentByCallers = own
      .filter((trace) => trace.sent.parent === undefined)
      .map((trace) => trace.sent.at);
    const times = own
      .flatMap(({ arrivals, sent: { belowRepeat = false } }) =>
        arrivals.slice(belowRepeat ? 0 : 1).map(({ at, node }) => ({ at, node, belowRepeat })),
      )
      .sort((first, second) => first.at - second.at);
    repeats += times.length;
    let over = false;
    for (const [place, { at, node }] of times.entries()) {
      const first = times.findIndex((each) => each.at > at - bounds.budgetWindow);
      const count = place - first + 1;
      const allowed = allowedRepeats(sent, at, bounds);
      highest = Math.max(highest, count / allowed);
      const allowedForCallers = allowedRepeats(sentByCallers, at, bounds);
      highestOfCallers = Math.max(highestOfCallers, count / allowedForCallers);
      // One line for each time that the budget is exceeded, at its begin.
      if (count > allowed && !over) {
        const below = times.slice(first, place + 1).filter(({ belowRepeat }) => belowRepeat).length;
        const what = `${count} repeats at ${service} within ${bounds.budgetWindow} ms`;
        const cause = `${what}, ${Math.floor(allowed)} allowed; ${below} are calls below a repeat`;
        breaches.push({ rule: Rule.budget, at, node, cause });
      }
      over = count > allowed;
    }
  }
  const round = (ratio: number) => Math.round(ratio * 1000) / 1000;
  return {
    breaches,
    counts: {
      repeats,
      highestRepeatRatio: round(highest),
      // The same with the requests of callers only, without the calls of backend servers.
      highestRepeatRatioOfCallers: round(highestOfCallers),
    },
  };
}

/** Requests count in the window, the one before it or the one half a window before it. */
function allowedRepeats(sent: readonly number[], at: number, bounds: MeshBounds): number {
  const window = bounds.budgetWindow;
  const counts = [at, at - window / 2, at - window].map(
    (end) => sent.filter((time) => time > end - window && time <= end).length,
  );
  return bounds.budgetRatio * Math.max(...counts) + bounds.budgetSlack;
}

/** Requests that ran on more backend servers than their route allows. */
function findTooManyBackends({ requests }: RunIndex, { backends }: Disruptions): CheckResult {
  const breaches: Breach[] = [];
  for (const { arrivals, runEnds, sent } of requests.values()) {
    if (sent.parent !== undefined || arrivals.length <= sent.maxAttempts) continue;
    const ran = new Set(
      arrivals
        .filter(({ accepted, at, backend }) => {
          const unused = runEnds.some(
            (each) => each.backend === backend && each.end === 'not-executed',
          );
          return accepted && !unused && !overlaps(backends.get(backend) ?? [], at, at);
        })
        .map(({ backend }) => backend),
    );
    if (ran.size <= sent.maxAttempts) continue;
    const cause = `ran on ${ran.size} backend servers, ${sent.maxAttempts} allowed`;
    const { at, id: requestId, node } = sent;
    breaches.push({ rule: Rule.budget, at, node, requestId, cause });
  }
  return {
    breaches: breaches.length > requestsOnTooMany ? breaches : [],
    counts: { onTooManyBackends: breaches.length },
  };
}

/** Arrivals whose `Deadline-Ms` is absent or longer than what the caller had left. */
function findLongDeadlines(
  { requests }: RunIndex,
  disruptions: Disruptions,
  bounds: MeshBounds,
): CheckResult {
  const inTouch: Breach[] = [];
  let counted = 0;
  let outOfTouch = 0;
  for (const trace of requests.values()) {
    for (const arrival of trace.arrivals) {
      const span = { from: trace.sent.at, to: arrival.at };
      if (overlaps(disruptions.rig, span.from, span.to)) continue;
      const cause = describeDeadline(trace, arrival);
      const { id: requestId, node } = trace.sent;
      const judged = [node, arrival.node].every((each) =>
        isInTouch(disruptions, bounds, each, span),
      );
      if (judged) counted += 1;
      if (cause === undefined) continue;
      if (judged) inTouch.push({ rule: Rule.budget, at: arrival.at, node, requestId, cause });
      else outOfTouch += 1;
    }
  }
  const broken = inTouch.length > arrivalsTooLong && inTouch.length > shareTooLong * counted;
  return {
    breaches: broken ? inTouch : [],
    counts: {
      arrivalsInTouch: counted,
      longDeadlinesInTouch: inTouch.length,
      longDeadlinesOutOfTouch: outOfTouch,
    },
  };
}

function describeDeadline(
  { sent }: RequestTrace,
  { at, deadlineMilliseconds }: RequestTrace['arrivals'][number],
): string | undefined {
  if (deadlineMilliseconds === undefined) return 'arrived without Deadline-Ms';
  const left = sent.deadlineMilliseconds - (at - sent.at);
  if (deadlineMilliseconds <= left + deadlineSlackMilliseconds) return undefined;
  return `arrived with Deadline-Ms ${deadlineMilliseconds}, ${Math.round(left)} ms were left`;
}
