import { get, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { host } from './fleet.js';

/** How the answers of a slow caller ended. */
export interface SlowCallerResult {
  /** Answers in 200 that ended normally. */
  whole: number;
  /** Answers in 200 that ended with an error. */
  cut: number;
  /** Requests with another status, or without an answer. */
  other: number;
}

const maxReadDelayMilliseconds = 8;
const limitMilliseconds = 60_000;

/** Reads an answer with pauses, as a caller on a slow link does. */
async function readSlowly(response: IncomingMessage, delayMilliseconds: number): Promise<boolean> {
  try {
    for await (const chunk of response) {
      if ((chunk as Buffer).length > 0) await sleep(delayMilliseconds);
    }
    return response.complete;
  } catch {
    return false;
  }
}

async function callOnce(port: number, id: string, delayMilliseconds: number) {
  const headers = { host: 'a.example', 'request-id': id, 'deadline-ms': '5000' };
  return new Promise<keyof SlowCallerResult>((resolve) => {
    const request = get({ host, port, path: `/reads/${id}`, headers, agent: false });
    let isAnswered = false;
    let failed = false;
    request.on('error', () => {
      // A reset in the middle of an answer is an error of the request, too.
      failed = true;
      if (!isAnswered) resolve('other');
    });
    request.once('response', async (response) => {
      isAnswered = true;
      const complete = await readSlowly(response, delayMilliseconds);
      if (response.statusCode !== 200) resolve('other');
      else resolve(complete && !failed ? 'whole' : 'cut');
    });
  });
}

/**
 * Sends requests one after another, each read with another pause, until `count` were answered in 200
 * or the time is over. Prints how they ended.
 */
async function run(port: number, name: string, count: number): Promise<void> {
  const end = performance.now() + limitMilliseconds;
  const result: SlowCallerResult = { whole: 0, cut: 0, other: 0 };
  for (let number = 0; result.whole + result.cut < count; number += 1) {
    if (performance.now() > end) break;
    const outcome = await callOnce(port, `${name}-${number}`, number % maxReadDelayMilliseconds);
    result[outcome] += 1;
  }
  process.stdout.write(JSON.stringify(result));
}

const [, , port, name, count] = process.argv;
await run(Number(port), String(name), Number(count));
