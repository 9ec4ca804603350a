import type { Readable } from 'node:stream';

import { maxBodyPieceBytes, type CreditWindow } from './flowControl.js';

const noData = Buffer.alloc(0);

/** Writes one piece of a body; waits while the connection is congested. */
export type WritePiece = (data: Buffer, end: boolean) => Promise<void> | undefined;

/**
 * Sends a whole stream in pieces, paced by the receiver's credit.
 *
 * Returns true when the end was sent and false when the window was closed first. An error of the
 * source is thrown; the caller has to tell the receiver that the body is incomplete.
 */
export async function sendBody(
  source: Readable,
  window: CreditWindow,
  write: WritePiece,
): Promise<boolean> {
  for await (const chunk of source) {
    let rest = chunk as Buffer;
    while (rest.length > 0) {
      const bytes = await window.take(Math.min(rest.length, maxBodyPieceBytes));
      if (bytes === 0) return false;
      await write(rest.subarray(0, bytes), false);
      rest = rest.subarray(bytes);
    }
  }
  await write(noData, true);
  return true;
}
