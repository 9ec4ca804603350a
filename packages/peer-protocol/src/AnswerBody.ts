import { Readable } from 'node:stream';

/**
 * The body of an answer. Small bodies are whole, which saves a stream on every hop; a stream fails
 * when the answer cannot be completed, and never ends early without an error.
 */
export type AnswerBody =
  | { readonly type: 'whole'; readonly data: Buffer }
  | { readonly type: 'stream'; readonly stream: Readable };

/** Bodies up to this size are sent whole, in one frame with the head of the answer, in bytes. */
export const maxWholeBodyBytes = 32 * 1024;

/**
 * Keeps the failure of a body without a reader from ending the process as an uncaught error. Whoever
 * reads the stream later finds the failure in `errored`.
 */
export function keepErrorAsState<Body extends Readable>(stream: Body): Body {
  return stream.on('error', () => {});
}

/** Drops a body that nobody wants. */
export function discardBody(body: AnswerBody): void {
  if (body.type === 'stream') keepErrorAsState(body.stream).destroy();
}

/** Calls the listener when the body has ended; `complete` is false when it broke off. */
export function whenBodyEnds(body: AnswerBody, listener: (complete: boolean) => void): void {
  if (body.type === 'whole') listener(true);
  else body.stream.once('close', () => listener(body.stream.readableEnded));
}

/** Gives a body as a stream. */
export function toStream(body: AnswerBody): Readable {
  return body.type === 'stream' ? body.stream : Readable.from([body.data], { objectMode: false });
}
