import type { MeshBounds } from '../mesh/meshShape.js';
import { RequestEnd } from '../record/SoakEvent.js';
import { Rule, type Breach, type CheckResult } from './Breach.js';
import type { Disruptions } from './disruptions.js';
import { Judgement, LossJudge } from './LossJudge.js';
import type { RequestTrace, RunIndex } from './RunIndex.js';

/** More closes than this in steady state break the rule. */
const steadyCloses = 3;
/** Rule LOST: requests that a node read and whose connection ended without a complete answer. */
export function findLost(
  index: RunIndex,
  disruptions: Disruptions,
  bounds: MeshBounds,
): CheckResult {
  const judge = new LossJudge(index, disruptions, bounds);
  const counts: Record<string, number> = { requests: index.requests.size };
  const found: { judgement: Judgement; breach: Breach }[] = [];
  for (const request of index.requests.values()) {
    const { ended } = request;
    if (ended === undefined) continue;
    const end = ended.end === RequestEnd.answered ? `answered${ended.status ?? ''}` : ended.end;
    counts[end] = (counts[end] ?? 0) + 1;
    const cause = describeLoss(request);
    if (cause === undefined) continue;
    const judgement = judge.judge(request);
    counts[judgement] = (counts[judgement] ?? 0) + 1;
    const { id: requestId, node } = ended;
    found.push({ judgement, breach: { rule: Rule.lost, at: ended.at, node, requestId, cause } });
  }
  const of = (judgement: Judgement) =>
    found.filter((each) => each.judgement === judgement).map(({ breach }) => breach);
  const steady = of(Judgement.steady);
  return {
    breaches: [
      ...of(Judgement.breach),
      ...judge.findCutsBesideConfiguration(of(Judgement.besideConfiguration), found.length),
      ...(steady.length > steadyCloses ? steady : []),
    ],
    counts,
  };
}

/** Gives what was lost, if the request ended without the answer of its backend server. */
function describeLoss({ arrivals, ended, runEnds, sent }: RequestTrace): string | undefined {
  if (ended === undefined) return undefined;
  const what = `${sent.idempotent ? 'idempotent' : 'unsafe'} ${sent.route}`;
  const after = Math.round(ended.at - sent.at);
  const how = `${ended.kept ? 'kept' : 'new'} connection, ${arrivals.length} arrivals`;
  if (ended.end === RequestEnd.closed) {
    return `${what} closed without an answer after ${after} ms (${how}, ${ended.detail ?? ''})`;
  }
  if (ended.end !== RequestEnd.answered || ended.signed === true) return undefined;
  const openRuns = arrivals.filter(({ accepted }) => accepted).length - runEnds.length;
  const dropped = runEnds.some(({ at, end }) => end === 'dropped' && at >= ended.at - 5);
  const atWork = openRuns > 0 || dropped || runEnds.some(({ at }) => at > ended.at);
  if (!atWork || (ended.status ?? 0) < 400) return undefined;
  return `${what} answered ${ended.status} after ${after} ms while a backend server was at work`;
}
