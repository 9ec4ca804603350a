import type { Run } from '@hickorybridge/stand-ins';
import { Told } from '../drive/reply.js';
import type { CallerRecord } from '../drive/reply.js';
import type { Leaving } from '../faults/FaultDriver.js';

/** Time after which a leaving backend server gets no new work, in milliseconds. */
const leavingMilliseconds = 3_000;

/** A run and the backend server on which it took place. */
export interface PlacedRun {
  readonly hostId: string;
  readonly run: Run;
}

/** What a replay has to go by. */
export interface Evidence {
  readonly records: readonly CallerRecord[];
  readonly runs: readonly PlacedRun[];
  readonly leavings: readonly Leaving[];
  /** Nodes that were killed or frozen. */
  readonly disturbedNodes: ReadonlySet<string>;
}

/** Counts of a replay, and a few examples of each fault. */
export interface Accounting {
  readonly requests: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Of the unknown ones, repetitions of a key whose first request was not finished. */
  readonly alreadyClaimed: number;
  /** Replies that the system made itself, by type of problem. */
  readonly problems: ReadonlyMap<string, number>;
  /** Runs in all. */
  readonly ran: number;
  readonly unaccounted: number;
  readonly ranTwice: number;
  readonly notRunThatRan: number;
  readonly answeredWithoutRun: number;
  readonly wrongBytes: number;
  readonly cutOff: number;
  /** Connections that ended through killed or frozen nodes. */
  readonly cutOffByFault: number;
  readonly workAfterLeaving: number;
  readonly examples: readonly string[];
}

const maximumExamples = 6;

const alreadyClaimedProblem = 'urn:hickorybridge:problem:already-claimed';

/** Compares what callers were told with what ran. */
export function account(evidence: Evidence): Accounting {
  const runsByMark = groupRuns(evidence.runs, ({ run }) => run.mark);
  const runsByKey = groupRuns(evidence.runs, ({ run }) => run.idempotencyKey);
  const { records } = evidence;
  const told = (value: Told) => records.filter((record) => record.told === value);
  const disturbed = (record: CallerRecord) =>
    record.nodeId !== undefined && evidence.disturbedNodes.has(record.nodeId);
  const withoutReply = [...told(Told.nothing), ...told(Told.cutOff)];
  const faulty = {
    unaccounted: told(Told.nothing).filter((record) => !disturbed(record)),
    notRunThatRan: told(Told.notRun).filter((record) => runsByMark.has(record.mark)),
    answeredWithoutRun: told(Told.answered).filter(
      (record) => !completedRun(record, runsByMark, runsByKey),
    ),
    wrongBytes: records.filter((record) => !record.bytesRight),
    cutOff: told(Told.cutOff).filter((record) => !disturbed(record)),
    ranTwice: findDoubleRuns(records, runsByMark, runsByKey),
  };
  const late = evidence.runs.filter((run) => isAfterLeaving(run, evidence.leavings));
  return {
    requests: records.length,
    answered: told(Told.answered).length,
    notRun: told(Told.notRun).length,
    unknown: told(Told.unknown).length,
    alreadyClaimed: countAlreadyClaimed(records),
    problems: countProblems(records),
    ran: evidence.runs.length,
    unaccounted: faulty.unaccounted.length,
    ranTwice: faulty.ranTwice.length,
    notRunThatRan: faulty.notRunThatRan.length,
    answeredWithoutRun: faulty.answeredWithoutRun.length,
    wrongBytes: faulty.wrongBytes.length,
    cutOff: faulty.cutOff.length,
    cutOffByFault: withoutReply.filter(disturbed).length,
    workAfterLeaving: late.length,
    examples: Object.entries(faulty)
      .flatMap(([name, found]) => found.slice(0, 2).map((record) => describe(name, record)))
      .slice(0, maximumExamples),
  };
}

/** `already-claimed` is the right reply only for a key that was sent more than once. */
function countAlreadyClaimed(records: readonly CallerRecord[]): number {
  const sendings = new Map<string, number>();
  for (const { key } of records) {
    if (key !== undefined) sendings.set(key, (sendings.get(key) ?? 0) + 1);
  }
  return records.filter(
    (record) =>
      record.problem === alreadyClaimedProblem &&
      record.key !== undefined &&
      (sendings.get(record.key) ?? 0) > 1,
  ).length;
}

function countProblems(records: readonly CallerRecord[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { told, problem, detail } of records) {
    if (told !== Told.answered) {
      const name = `${told}: ${problem ?? detail ?? 'no problem details'}`;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
  }
  return counts;
}

type RunsByName = ReadonlyMap<string, readonly PlacedRun[]>;

function groupRuns(
  runs: readonly PlacedRun[],
  nameOf: (run: PlacedRun) => string | undefined,
): RunsByName {
  const groups = new Map<string, PlacedRun[]>();
  for (const run of runs) {
    const name = nameOf(run);
    if (name !== undefined) groups.set(name, [...(groups.get(name) ?? []), run]);
  }
  return groups;
}

/** A stored answer needs a completed run of its key, any other answer one of its own request. */
function completedRun(record: CallerRecord, byMark: RunsByName, byKey: RunsByName): boolean {
  // A backend server's own refusal is an answer without a run.
  if (record.status === 503) return true;
  const runs = record.replayed ? byKey.get(record.key ?? '') : byMark.get(record.mark);
  return runs?.some(({ run }) => run.state === 'completed') ?? false;
}

/** Gives one record for each non-idempotent request or key with more than one run. */
function findDoubleRuns(
  records: readonly CallerRecord[],
  byMark: RunsByName,
  byKey: RunsByName,
): CallerRecord[] {
  const seen = new Set<string>();
  return records.filter((record) => {
    if (record.idempotent) return false;
    const runs = record.key === undefined ? byMark.get(record.mark) : byKey.get(record.key);
    const name = record.key ?? record.mark;
    if ((runs?.length ?? 0) < 2 || seen.has(name)) return false;
    seen.add(name);
    return true;
  });
}

function isAfterLeaving({ hostId, run }: PlacedRun, leavings: readonly Leaving[]): boolean {
  return leavings.some(
    (leaving) =>
      leaving.hostId === hostId &&
      run.start > leaving.from + leavingMilliseconds &&
      run.start < leaving.until,
  );
}

function describe(name: string, record: CallerRecord): string {
  const { service, kind, told, status, nodeId, requestId, key, detail } = record;
  return (
    `${name}: ${service}/${kind} through ${nodeId ?? 'no node'}, request ${requestId ?? 'without id'}` +
    `${key === undefined ? '' : `, key ${key}`}: told ${told}, status ${status}${
      detail === undefined ? '' : `, ${detail}`
    }`
  );
}
