import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { AnswerFault } from './control.js';

/** A complete answer of a stand-in backend server. */
export interface StandInAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Gives the body that belongs to a mark: the mark and a semicolon, repeated up to the size. */
export function answerBody(mark: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${mark};`);
}

/** Sends an answer, with its fault if there is one. */
export async function sendAnswer(
  response: ServerResponse,
  answer: StandInAnswer,
  fault: { readonly type: AnswerFault; readonly lateMilliseconds: number } | undefined,
): Promise<void> {
  switch (fault?.type) {
    case AnswerFault.late:
      await sleep(fault.lateMilliseconds);
      sendComplete(response, answer);
      return;
    case AnswerFault.half:
      sendHalf(response, answer);
      return;
    case AnswerFault.never:
      return;
    case AnswerFault.doubled:
      sendDoubled(response, answer);
      return;
    default:
      sendComplete(response, answer);
  }
}

function sendComplete(response: ServerResponse, answer: StandInAnswer): void {
  response.writeHead(answer.status, headersOf(answer));
  response.end(answer.body);
}

function sendHalf(response: ServerResponse, answer: StandInAnswer): void {
  response.writeHead(answer.status, headersOf(answer));
  const half = answer.body.subarray(0, Math.floor(answer.body.length / 2));
  response.write(half, () => response.destroy());
}

function sendDoubled(response: ServerResponse, answer: StandInAnswer): void {
  const { socket } = response;
  const lines = Object.entries(headersOf(answer)).map(([name, value]) => `${name}: ${value}`);
  const head = `HTTP/1.1 ${answer.status} OK\r\n${lines.join('\r\n')}\r\n\r\n`;
  socket?.cork();
  sendComplete(response, answer);
  socket?.write(head);
  socket?.write(answer.body);
  socket?.uncork();
}

function headersOf(answer: StandInAnswer): Record<string, string> {
  return { ...answer.headers, 'content-length': String(answer.body.length) };
}
