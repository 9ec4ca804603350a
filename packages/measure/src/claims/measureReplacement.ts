import { Distance } from '@hickorybridge/types';
import { RandomSource, systemClock } from '@hickorybridge/utils';

import { ClaimFleet } from './ClaimFleet.js';
import type { FleetNode } from './ClaimFleet.js';

/** What callers saw while holders were replaced one after the other. */
export interface ReplacementFigures {
  readonly claims: number;
  readonly replacedNodes: number;
  /** Share of claims with the outcome `record-unavailable`, from 0 to 1. */
  readonly unavailableShare: number;
  /** Share of claims with any outcome but `granted`; the keys are all different. */
  readonly notGrantedShare: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
}

/** How the nodes go: announced before they stop, or without a word. */
export type Replacement = 'planned' | 'crash';

const nodesPerDomain = 3;
const nodeIntervalMilliseconds = 2_000;
const absenceMilliseconds = 1_200;
const claimIntervalMilliseconds = 5;
const deadlineMilliseconds = 5_000;

const delays = {
  [Distance.sameFailureDomain]: 0.5,
  [Distance.sameRegion]: 1,
  [Distance.otherRegion]: 30,
};

/** Replaces each of twelve nodes once, with about 200 claims a second at random routers. */
export async function measureReplacement(
  seed: number,
  replacement: Replacement,
): Promise<ReplacementFigures> {
  await using fleet = new ClaimFleet(nodesPerDomain, delays);
  await fleet.keep();
  await systemClock.sleep(deadlineMilliseconds / 5);
  const ending = new AbortController();
  const load = claimAtRandom(fleet, new RandomSource(seed), ending.signal);
  const nodes = [...fleet.nodes.values()];
  for (const node of nodes) await replaceNode(fleet, node, replacement);
  ending.abort();
  return { ...(await load), replacedNodes: nodes.length };
}

async function replaceNode(
  fleet: ClaimFleet,
  node: FleetNode,
  replacement: Replacement,
): Promise<void> {
  if (replacement === 'crash') fleet.nodes.delete(node.identity.nodeId);
  else fleet.live.delete(node.identity.nodeId);
  await systemClock.sleep(absenceMilliseconds);
  fleet.start(node.identity);
  await systemClock.sleep(nodeIntervalMilliseconds - absenceMilliseconds);
}

async function claimAtRandom(
  fleet: ClaimFleet,
  random: RandomSource,
  signal: AbortSignal,
): Promise<Omit<ReplacementFigures, 'replacedNodes'>> {
  const running: Promise<{ readonly type: string; readonly milliseconds: number }>[] = [];
  while (!signal.aborted) {
    const nodes = [...fleet.nodes.values()].filter((node) => fleet.live.has(node.identity.nodeId));
    const node = nodes[random.integerBelow(nodes.length)];
    if (node?.views.current() !== undefined) running.push(claimOnce(node, `key-${running.length}`));
    await systemClock.sleep(claimIntervalMilliseconds, signal);
  }
  const outcomes = await Promise.all(running);
  const times = outcomes.map((outcome) => outcome.milliseconds).sort((one, two) => one - two);
  const share = (isCounted: (type: string) => boolean): number =>
    round(outcomes.filter((outcome) => isCounted(outcome.type)).length / outcomes.length, 5);
  return {
    claims: outcomes.length,
    unavailableShare: share((type) => type === 'record-unavailable'),
    notGrantedShare: share((type) => type !== 'granted'),
    p50Milliseconds: quantile(times, 0.5),
    p99Milliseconds: quantile(times, 0.99),
  };
}

async function claimOnce(
  node: FleetNode,
  key: string,
): Promise<{ readonly type: string; readonly milliseconds: number }> {
  const startedAt = systemClock.now();
  const { type } = await node.client.claim({
    service: 'laboratory',
    key,
    fingerprint: key,
    requestId: key,
    deadline: startedAt + deadlineMilliseconds,
  });
  return { type, milliseconds: systemClock.now() - startedAt };
}

function quantile(sorted: readonly number[], share: number): number {
  return round(sorted[Math.floor(sorted.length * share)] ?? 0, 2);
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
