import { RandomSource, systemClock } from '@hickorybridge/utils';
import type { MeasureContext, MeasureResult } from './Measure.js';

import { ClaimFleet } from './claims/ClaimFleet.js';
import { MemoryStore } from './claims/MemoryStore.js';
import type { FleetNode } from './claims/ClaimFleet.js';
import { measureMemory } from './claims/measureMemory.js';
import { measureReplacement } from './claims/measureReplacement.js';

/** Enough that a router is seldom a holder of its own claims. */
const nodesPerDomain = 16;
const rounds = 20_000;
const warmUpRounds = 3_000;
const baselineWrites = 900;
const baselineWritesPerSecond = 300;
const baselineWriteMilliseconds = 1;
const millisecondsPerSecond = 1_000;

/**
 * Measures claims in one process: time and bytes for each, memory for each record, and what
 * callers see while holders are replaced. The baseline is one conditional create in the store for
 * each key, at 1 ms a write and at most 300 writes a second. Takes about a minute.
 */
export async function measureClaims({ seed, print }: MeasureContext): Promise<MeasureResult> {
  const baseline = await measureBaseline();
  print(`baseline: ${JSON.stringify(baseline)}`);
  const claims = await measureThroughput(seed);
  print(`claims: ${JSON.stringify(claims)}`);
  const memory = await measureMemory();
  print(`memory: ${JSON.stringify(memory)}`);
  const planned = await measureReplacement(seed, 'planned');
  print(`planned replacement: ${JSON.stringify(planned)}`);
  const crash = await measureReplacement(seed, 'crash');
  print(`replacement after a crash: ${JSON.stringify(crash)}`);
  return { baseline, claims, memory, planned, crash };
}

/** Claims and finishes different keys at random routers, one after the other. */
async function measureThroughput(seed: number): Promise<Record<string, number>> {
  await using fleet = new ClaimFleet(nodesPerDomain);
  await fleet.keep();
  const random = new RandomSource(seed);
  const nodes = [...fleet.nodes.values()];
  await claimAndFinish(nodes, random, { rounds: warmUpRounds, prefix: 'warm' });
  Object.assign(fleet.traffic, { calls: 0, linkBytes: 0, otherBytes: 0 });
  const startedAt = systemClock.now();
  const cpuBefore = process.cpuUsage();
  await claimAndFinish(nodes, random, { rounds, prefix: 'measured' });
  const cpu = process.cpuUsage(cpuBefore);
  const elapsed = systemClock.now() - startedAt;
  return {
    claimsPerSecond: Math.round((rounds / elapsed) * millisecondsPerSecond),
    cpuMicrosecondsPerClaim: round((cpu.user + cpu.system) / rounds),
    messagesPerClaim: round(fleet.traffic.calls / rounds),
    linkBytesPerClaim: round(fleet.traffic.linkBytes / rounds),
    otherBytesPerClaim: round(fleet.traffic.otherBytes / rounds),
  };
}

async function claimAndFinish(
  nodes: readonly FleetNode[],
  random: RandomSource,
  run: { readonly rounds: number; readonly prefix: string },
): Promise<void> {
  for (let index = 0; index < run.rounds; index += 1) {
    const node = nodes[random.integerBelow(nodes.length)];
    const key = `${run.prefix}-${index}`;
    const outcome = await node?.client.claim({
      service: 'laboratory',
      key,
      fingerprint: key,
      requestId: key,
      deadline: systemClock.now() + millisecondsPerSecond * 10,
    });
    if (outcome?.type !== 'granted') throw new Error(`key ${key} was not granted`);
    await outcome.claim.finished({ status: 201, headers: [], body: new Uint8Array(64) });
  }
}

async function measureBaseline(): Promise<Record<string, number>> {
  const store = new MemoryStore(baselineWriteMilliseconds);
  const startedAt = systemClock.now();
  const writes: Promise<unknown>[] = [];
  while (writes.length < baselineWrites) {
    const permitted =
      ((systemClock.now() - startedAt) / millisecondsPerSecond) * baselineWritesPerSecond;
    while (writes.length < Math.min(permitted, baselineWrites)) {
      writes.push(store.writeConditional(`claims/key-${writes.length}`, '{}', 0));
    }
    await systemClock.sleep(1);
  }
  await Promise.all(writes);
  const elapsed = systemClock.now() - startedAt;
  return {
    claimsPerSecond: Math.round((baselineWrites / elapsed) * millisecondsPerSecond),
    writeMilliseconds: baselineWriteMilliseconds,
    writesPerSecondLimit: baselineWritesPerSecond,
  };
}

function round(value: number): number {
  return Number(value.toFixed(1));
}
