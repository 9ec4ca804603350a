import { isRecordName } from './packRecord.js';
import type { ClaimMessage, FinishMessage, ReleaseMessage } from './messages.js';
import type { StoredAnswer } from './claimRecord.js';

/**
 * The three calls of each claim travel as lists without field names, which take half as many
 * bytes. All other calls are rare and travel as objects.
 */
export type ClaimWire = readonly unknown[];

const claimFields = 5;
const noFingerprint = '';

/** Encodes a claim. */
export function encodeClaim(message: ClaimMessage): ClaimWire {
  return [message.shard, message.viewId, message.digest, message.attempt, message.fingerprint];
}

/** Decodes a claim; `undefined` when it is malformed. */
export function decodeClaim(wire: unknown): ClaimMessage | undefined {
  if (!Array.isArray(wire)) return undefined;
  const [shard, viewId, digest, attempt, fingerprint] = wire as readonly unknown[];
  if (typeof shard !== 'number' || typeof viewId !== 'string') return undefined;
  if (!isRecordName(digest) || !isRecordName(attempt) || !isRecordName(fingerprint)) {
    return undefined;
  }
  return { shard, viewId, digest, attempt, fingerprint };
}

/** Encodes the end of an attempt. */
export function encodeFinish(message: FinishMessage): ClaimWire {
  const { answer } = message;
  const claim = encodeClaim(message);
  return answer === undefined
    ? claim
    : [...claim, answer.status, answer.headers, Buffer.from(answer.body)];
}

/** Decodes the end of an attempt; `undefined` when it is malformed. */
export function decodeFinish(wire: unknown): FinishMessage | undefined {
  const claim = decodeClaim(wire);
  if (claim === undefined) return undefined;
  const [status, headers, body] = (wire as readonly unknown[]).slice(claimFields);
  if (status === undefined) return claim;
  if (typeof status !== 'number' || !isHeaderList(headers)) return undefined;
  if (!(body instanceof Uint8Array)) return undefined;
  const answer: StoredAnswer = { status, headers, body };
  return { ...claim, answer };
}

/** Encodes a release. */
export function encodeRelease(message: ReleaseMessage): ClaimWire {
  return [message.shard, message.viewId, message.digest, message.attempt];
}

/** Decodes a release; `undefined` when it is malformed. */
export function decodeRelease(wire: unknown): ReleaseMessage | undefined {
  if (!Array.isArray(wire)) return undefined;
  return decodeClaim([...(wire as readonly unknown[]), noFingerprint]);
}

function isHeaderList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every((text) => typeof text === 'string');
}
