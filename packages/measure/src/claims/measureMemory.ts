import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { systemClock } from '@hickorybridge/utils';

import { ClaimFleet } from './ClaimFleet.js';

/** Memory of records, in bytes. */
export interface MemoryFigures {
  readonly records: number;
  /** Slope over the number of claimed records, without answers. */
  readonly bytesPerRecord: number;
  /** The same for finished records with an answer of `answerBytes`. */
  readonly bytesPerAnsweredRecord: number;
  readonly answerBytes: number;
}

const settlingMilliseconds = 300;
const claims = 20_000;
const answerBytes = 200;

/** Fills holders with records through the codec, and measures the heap's slope. */
export async function measureMemory(): Promise<MemoryFigures> {
  const claimed = await measureSlope(false);
  const answered = await measureSlope(true);
  return {
    records: claimed.records,
    bytesPerRecord: Math.round(claimed.bytes),
    bytesPerAnsweredRecord: Math.round(answered.bytes),
    answerBytes,
  };
}

async function measureSlope(
  withAnswers: boolean,
): Promise<{ readonly records: number; readonly bytes: number }> {
  await using fleet = new ClaimFleet(1);
  await fleet.keep();
  await claimMany(fleet, 'warm', withAnswers);
  const before = await usedBytes();
  const recordsBefore = countRecords(fleet);
  await claimMany(fleet, 'measured', withAnswers);
  const records = countRecords(fleet) - recordsBefore;
  return { records, bytes: ((await usedBytes()) - before) / records };
}

async function claimMany(fleet: ClaimFleet, prefix: string, withAnswers: boolean): Promise<void> {
  const [node] = fleet.nodes.values();
  for (let index = 0; index < claims; index += 1) {
    const outcome = await node?.client.claim({
      service: 'laboratory',
      key: `${prefix}-${index}`,
      fingerprint: `${prefix}-${index}`,
      requestId: 'request',
      deadline: Number.MAX_SAFE_INTEGER,
    });
    if (!withAnswers || outcome?.type !== 'granted') continue;
    const body = new Uint8Array(answerBytes);
    await outcome.claim.finished({ status: 201, headers: [], body });
  }
}

function countRecords(fleet: ClaimFleet): number {
  return [...fleet.nodes.values()].reduce((sum, node) => sum + node.holder.recordCount, 0);
}

/** The waits of finished claims for a third holder have to end first. */
async function usedBytes(): Promise<number> {
  await systemClock.sleep(settlingMilliseconds);
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  collectGarbage();
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
