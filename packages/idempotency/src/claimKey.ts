import { createHash } from 'node:crypto';

import { shardCount } from './claimView.js';

/** Where the record of a key is kept. */
export interface ClaimKey {
  readonly shard: number;
  /** First 128 bits of the SHA-256 of service and key, in base64url (22 characters). */
  readonly digest: string;
}

const digestBytes = 16;
const fingerprintBytes = 9;

/** Derives shard and digest from service and key. The length keeps the two parts apart. */
export function deriveClaimKey(service: string, key: string): ClaimKey {
  const hash = createHash('sha256').update(`${service.length}:${service}${key}`).digest();
  return {
    shard: (hash[digestBytes] ?? 0) % shardCount,
    digest: hash.toString('base64url', 0, digestBytes),
  };
}

/** Shortens a fingerprint of any length to 72 bits (12 characters), for messages and memory. */
export function shortenFingerprint(fingerprint: string): string {
  const hash = createHash('sha256').update(fingerprint).digest();
  return hash.toString('base64url', 0, fingerprintBytes);
}
