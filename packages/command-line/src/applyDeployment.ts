import { randomUUID } from 'node:crypto';
import {
  deploymentKey,
  formatAcceptedDeployment,
  parseAcceptedDeployment,
} from '@hickorybridge/configuration';
import type { AcceptedDeployment } from '@hickorybridge/configuration';
import type { PlatformStore, StoredObject } from '@hickorybridge/store';
import type { Clock } from '@hickorybridge/utils';

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
  /** This change was accepted or may have been, and another one has replaced it. */
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

const resolutionReads = 5;
const firstResolutionDelayMilliseconds = 100;

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
  version: number,
): Promise<ApplyOutcome> {
  const accepted: AcceptedDeployment = {
    number: (current?.number ?? 0) + 1,
    applyId: randomUUID(),
    acceptedAt: options.clock.wallTime(),
    text: options.text,
    appliedBy: options.operator,
    previousApplyId: current?.applyId,
  };
  const value = formatAcceptedDeployment(accepted);
  const outcome = await options.store.writeConditional(deploymentKey, value, version);
  switch (outcome.type) {
    case 'done':
      return { type: 'accepted', accepted };
    case 'refused':
      return judgeStanding(accepted, outcome.current) ?? { type: 'refused', standing: undefined };
    default:
      return resolveUnknown(options, accepted, version, outcome.detail);
  }
}

/** Reads the identity back until it is clear which change stands. */
async function resolveUnknown(
  options: ApplyOptions,
  accepted: AcceptedDeployment,
  version: number,
  detail: string,
): Promise<ApplyOutcome> {
  let delay = firstResolutionDelayMilliseconds;
  for (let count = 0; count < resolutionReads; count += 1) {
    await options.clock.sleep(delay);
    delay *= 2;
    const read = await options.store.read(deploymentKey);
    // While the old version stands, the write can still take effect.
    if (!read.ok || read.value === undefined || read.value.version <= version) continue;
    const judged = judgeStanding(accepted, read.value);
    if (judged !== undefined) return judged;
  }
  return { type: 'unknown', applyId: accepted.applyId, detail };
}

/** Compares what stands with our own write; `undefined` when that cannot be read. */
function judgeStanding(
  own: AcceptedDeployment,
  object: StoredObject | undefined,
): ApplyOutcome | undefined {
  const standing = readAccepted(object);
  if (standing === undefined || typeof standing === 'string') return undefined;
  if (standing.applyId === own.applyId) return { type: 'accepted', accepted: own };
  // The number after the expected one belongs to another apply, so ours can no longer be accepted.
  if (standing.number <= own.number) return { type: 'refused', standing };
  const certain = standing.previousApplyId === own.applyId;
  return { type: 'replaced', certain, applyId: own.applyId, standing };
}

/** Gives the accepted deployment, `undefined` when there is none, or what is wrong with it. */
function readAccepted(object: StoredObject | undefined): AcceptedDeployment | string | undefined {
  if (object === undefined) return undefined;
  const parsed = parseAcceptedDeployment(object.value);
  return parsed.ok ? parsed.value : parsed.error;
}
