import { HeaderNames } from '@hickorybridge/platform';
import type { SocketAddress } from '@hickorybridge/types';
import { request } from 'node:http';

export interface HealthQuestion {
  readonly address: SocketAddress;
  readonly path: string;
  /** The backend server that is expected at the address. */
  readonly backendServerId: string;
}

/** Without an answer by then, the next report of the backend server is due soon. */
const timeoutMilliseconds = 1000;

/** Whether a backend server says that it is healthy and not leaving; false without an answer. */
export function isServing({ address, backendServerId, path }: HealthQuestion): Promise<boolean> {
  return new Promise((resolve) => {
    const signal = AbortSignal.timeout(timeoutMilliseconds);
    const question = request({ ...address, path, agent: false, signal });
    question.on('error', () => resolve(false));
    question.once('response', ({ headers, statusCode }) => {
      resolve(statusCode === 200 && headers[HeaderNames.backendServerId] === backendServerId);
      question.destroy();
    });
    question.end();
  });
}
