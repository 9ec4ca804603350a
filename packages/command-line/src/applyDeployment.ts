import { randomUUID } from 'node:crypto';
import {
  deploymentKey,
  formatAcceptedDeployment,
  parseAcceptedDeployment,
} from '@hickorybridge/configuration';
import type { AcceptedDeployment } from '@hickorybridge/configuration';
import { conditionalUpdate } from '@hickorybridge/coordination';
import type { VersionedObject } from '@hickorybridge/coordination';
import type { PlatformStore } from '@hickorybridge/store';
import type { Clock } from '@hickorybridge/utils';
import { match } from 'ts-pattern';

/** One apply. */
export interface ApplyOptions {
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly text: string;
  readonly operator: string;
  /** Number that the operator saw; the current one when it is absent. */
  readonly expectedNumber?: number | undefined;
}

/** How an apply ended. */
export type ApplyOutcome =
  | { readonly type: 'accepted'; readonly accepted: AcceptedDeployment }
  /** The same text is in the store already; nothing was written. */
  | { readonly type: 'unchanged'; readonly accepted: AcceptedDeployment }
  /** Another change stands; this one was not and will not be accepted. */
  | { readonly type: 'refused'; readonly standing: AcceptedDeployment | undefined }
  /** Another change stands; `certain` tells that this one was accepted before it. */
  | {
      readonly type: 'replaced';
      readonly certain: boolean;
      readonly applyId: string;
      readonly standing: AcceptedDeployment;
    }
  /** The write may have taken effect or may still do so. */
  | { readonly type: 'unknown'; readonly applyId: string; readonly detail: string }
  /** Nothing was written. */
  | { readonly type: 'failed'; readonly detail: string };

/** With the first delay doubled each time, a lost answer is looked for over about three seconds. */
const resolutionReads = 5;

/** The store holds values up to 1 MB. */
const maxValueBytes = 1_000_000;

/** Writes a deployment by one conditional update and finds out how it ended. */
export async function applyDeployment(options: ApplyOptions): Promise<ApplyOutcome> {
  const read = await options.store.read(deploymentKey);
  if (!read.ok) return { type: 'failed', detail: read.error.detail };
  const current = readAccepted(read.value);
  if (typeof current === 'string') return { type: 'failed', detail: current };
  if (current?.text === options.text) return { type: 'unchanged', accepted: current };
  const { expectedNumber } = options;
  if (expectedNumber !== undefined && (current?.number ?? 0) !== expectedNumber) {
    return { type: 'refused', standing: current };
  }
  return write(options, current, read.value?.version ?? 0);
}

async function write(
  options: ApplyOptions,
  current: AcceptedDeployment | undefined,
  expectedVersion: number,
): Promise<ApplyOutcome> {
  const { clock, operator, store, text } = options;
  const accepted: AcceptedDeployment = {
    number: (current?.number ?? 0) + 1,
    applyId: randomUUID(),
    acceptedAt: clock.wallTime(),
    text,
    appliedBy: operator,
    previousApplyId: current?.applyId,
  };
  const value = formatAcceptedDeployment(accepted);
  const bytes = Buffer.byteLength(value);
  if (bytes > maxValueBytes) {
    const detail = `the deployment takes ${bytes} bytes, and the store holds at most ${maxValueBytes}`;
    return { type: 'failed', detail };
  }
  const outcome = await conditionalUpdate({
    store,
    clock,
    key: deploymentKey,
    value,
    expectedVersion,
    isOwn: (standing) => applyIdOf(standing) === accepted.applyId,
    resolutionReads,
  });
  const { applyId } = accepted;
  return match<typeof outcome, ApplyOutcome>(outcome)
    .with({ type: 'done' }, () => ({ type: 'accepted', accepted }))
    .with({ type: 'unknown' }, ({ detail }) => ({ type: 'unknown', applyId, detail }))
    .with({ type: 'refused' }, ({ current: standing }) => ({
      type: 'refused',
      standing: knownStanding(standing),
    }))
    .with({ type: 'superseded' }, ({ current: standing }) => judgeReplaced(accepted, standing))
    .exhaustive();
}

/** The next apply names the one before it, which tells whether ours was accepted in between. */
function judgeReplaced(own: AcceptedDeployment, object: VersionedObject): ApplyOutcome {
  const { applyId } = own;
  const standing = knownStanding(object);
  if (standing === undefined) {
    return { type: 'unknown', applyId, detail: `${deploymentKey} cannot be read any more` };
  }
  return { type: 'replaced', certain: standing.previousApplyId === applyId, applyId, standing };
}

function applyIdOf(value: string): string | undefined {
  const parsed = parseAcceptedDeployment(value);
  return parsed.ok ? parsed.value.applyId : undefined;
}

function knownStanding(object: VersionedObject | undefined): AcceptedDeployment | undefined {
  const standing = readAccepted(object);
  return typeof standing === 'string' ? undefined : standing;
}

/** Gives the accepted deployment, `undefined` when there is none, or what is wrong with it. */
function readAccepted(
  object: VersionedObject | undefined,
): AcceptedDeployment | string | undefined {
  if (object === undefined) return undefined;
  const parsed = parseAcceptedDeployment(object.value);
  return parsed.ok ? parsed.value : parsed.error;
}
