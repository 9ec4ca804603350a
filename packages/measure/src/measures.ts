import type { Measure, MeasureContext, MeasureResult } from './Measure.js';
import { measureAddedLatency } from './measureAddedLatency.js';
import { measureClaims } from './measureClaims.js';
import { measureDecisions } from './measureDecisions.js';
import { measurePolicy } from './measurePolicy.js';
import { measureStart } from './measureStart.js';

/** All measures by name. */
export const measures: Readonly<Record<string, Measure>> = {
  'added-latency': measureAddedLatency,
  claims: measureClaims,
  decisions: runDecisions,
  policy: measurePolicy,
  start: measureStart,
};

const decisionsRepetitions = 2;

/** The model of decisions prints its own result as its last line. */
async function runDecisions({ seed, commit, print }: MeasureContext): Promise<MeasureResult> {
  let last = '{}';
  await measureDecisions({
    seed,
    commit,
    repetitions: decisionsRepetitions,
    print: (line) => {
      last = line;
      if (!line.startsWith('{')) print(line);
    },
  });
  return JSON.parse(last) as MeasureResult;
}
