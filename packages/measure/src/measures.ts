import { measureHostNode } from './hostNode/measureHostNode.js';
import type { Measure, MeasureResult } from './Measure.js';
import { measureAddedLatency } from './measureAddedLatency.js';
import { measureClaims } from './measureClaims.js';
import { measureConfiguration } from './measureConfiguration.js';
import { measureControlCost } from './measureControlCost.js';
import { measureDecisions } from './measureDecisions.js';
import { measurePolicy } from './measurePolicy.js';
import { measureStart } from './measureStart.js';

/** Numbers of nodes at which the cost of control and configuration changes are measured. */
const sizes = [8, 16, 32, 64, 128, 640];

const decisionRepetitions = 2;
const configurationRepetitions = 3;

/** All measures by name. */
export const measures: Readonly<Record<string, Measure>> = {
  'added-latency': measureAddedLatency,
  claims: measureClaims,
  configuration: (context) =>
    resultOf(context.print, (print) =>
      measureConfiguration({ ...context, sizes, repetitions: configurationRepetitions, print }),
    ),
  'control-cost': (context) =>
    resultOf(context.print, (print) => measureControlCost({ ...context, sizes, print })),
  decisions: (context) =>
    resultOf(context.print, (print) =>
      measureDecisions({ ...context, repetitions: decisionRepetitions, print }),
    ),
  'host-node': measureHostNode,
  policy: measurePolicy,
  start: measureStart,
};

/** Takes the result of a measure that prints it as its last line, and passes other lines on. */
async function resultOf(
  print: (line: string) => void,
  measure: (print: (line: string) => void) => Promise<void>,
): Promise<MeasureResult> {
  let last: string | undefined;
  await measure((line) => {
    if (last !== undefined) print(last);
    last = line;
  });
  return JSON.parse(last ?? '{}') as MeasureResult;
}
