import { z } from 'zod';

const count = z.int().min(0).default(0);
const share = z.number().min(0).max(1);

/** Outcomes that a replay must show. Counts are greatest permitted values. */
export const expectationsSchema = z.strictObject({
  /** Requests without any reply in time. */
  unaccounted: count,
  /** Runs of a non-idempotent request or key beyond the first. */
  ranTwice: count,
  /** Requests that ran although their caller was told `not-run`. */
  notRunThatRan: count,
  /** Answers without a completed run of their request or key. */
  answeredWithoutRun: count,
  /** Answers that are not byte for byte those of the request. */
  wrongBytes: count,
  /** Connections that ended before a complete reply, except through killed or frozen nodes. */
  cutOff: count,
  /** Runs that began on a backend server more than 3 s after it had begun to leave. */
  workAfterLeaving: count,
  /** Times at which a node showed an older configuration than before. */
  configurationOlder: count,
  /** Planned stops that had to be ended by a kill. */
  forcedStops: count,
  answeredShareAtLeast: share.default(0),
  unknownShareAtMost: share.default(1),
  notRunShareAtMost: share.default(1),
  /** Number of the configuration in effect on all nodes at the end. */
  configurationAtLeast: z.int().min(1).default(1),
  /** Whether bytes for measuring must stay within the deployment's budgets. */
  measuringWithinBudget: z.boolean().default(false),
  /** Greatest 99th percentile of the response time of answered requests, by kind. */
  p99Milliseconds: z.record(z.string(), z.number()).default({}),
});

export type Expectations = z.infer<typeof expectationsSchema>;

/** The file beside a trace. */
export const scenarioSchema = z.strictObject({
  title: z.string(),
  deployment: z.enum(['litoteca', 'derwent']),
  /** Point of section 1.2 of the design page, or `workload`. */
  point: z.union([z.int().min(1).max(7), z.literal('workload')]),
  faults: z.string(),
  seed: z.int(),
  expect: expectationsSchema,
});

export type Scenario = z.infer<typeof scenarioSchema>;
