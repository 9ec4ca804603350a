import { maximumAnswerBytes } from '@hickorybridge/idempotency';
import { toStream, type AnswerBody } from '@hickorybridge/peer-protocol';
import { PassThrough, type Readable } from 'node:stream';

/** The body of an answer: whole when it is small enough to be stored. */
export type SplitAnswer =
  | { readonly type: 'whole'; readonly data: Buffer }
  | { readonly type: 'large'; readonly body: Readable }
  | { readonly type: 'broken'; readonly detail: string };

/** Reads a small body to its end; gives a larger one back as a stream that starts at the front. */
export async function splitAnswer(answer: AnswerBody): Promise<SplitAnswer> {
  const body = toStream(answer);
  const chunks: Buffer[] = [];
  let bytes = 0;
  const iterator = body.iterator({ destroyOnReturn: false });
  try {
    for await (const chunk of iterator) {
      chunks.push(chunk as Buffer);
      bytes += (chunk as Buffer).length;
      if (bytes > maximumAnswerBytes) return { type: 'large', body: continueBody(chunks, body) };
    }
  } catch (error) {
    return { type: 'broken', detail: error instanceof Error ? error.message : String(error) };
  }
  return { type: 'whole', data: Buffer.concat(chunks) };
}

function continueBody(read: readonly Buffer[], rest: Readable): Readable {
  const joined = new PassThrough();
  for (const chunk of read) joined.write(chunk);
  rest.once('error', (error) => joined.destroy(error));
  joined.once('close', () => {
    if (!rest.readableEnded) rest.destroy();
  });
  return rest.pipe(joined);
}
