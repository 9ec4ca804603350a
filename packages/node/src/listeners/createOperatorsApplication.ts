import { Hono } from 'hono';
import { bearerAuth } from 'hono/bearer-auth';

import type { Readiness } from '../Node.js';
import type { ListenerEnvironment } from './HttpListener.js';

/** What the operators' listener needs. */
export interface OperatorsApplicationOptions {
  /** Key that operators have to send as a bearer token; none is needed without one. */
  readonly sharedKey: string | undefined;
  readonly readiness: () => Readiness;
  /** The node's status, as a JSON value. */
  readonly status: () => Promise<unknown>;
  /** Metrics in the text format of Prometheus. */
  readonly metrics: () => string;
  /** What became of a request; `undefined` when it is not remembered. */
  readonly explain: (requestId: string) => unknown;
  /** Starts the graceful shutdown of the node. */
  readonly drain: () => void;
}

/** Makes the application for operators: status, metrics, liveness and readiness. */
export function createOperatorsApplication(
  options: OperatorsApplicationOptions,
): Hono<ListenerEnvironment> {
  const application = new Hono<ListenerEnvironment>();
  application.get('/live', (context) => context.json({ live: true }));
  application.get('/ready', (context) => {
    const readiness = options.readiness();
    return context.json(readiness, readiness.ready ? 200 : 503);
  });
  if (options.sharedKey !== undefined) application.use(bearerAuth({ token: options.sharedKey }));
  application.get('/status', async (context) => context.json((await options.status()) as object));
  application.get('/metrics', (context) => context.text(options.metrics()));
  application.get('/explain/:id', (context) => {
    const explanation = options.explain(context.req.param('id'));
    if (explanation !== undefined) return context.json(explanation as object);
    const title = `request "${context.req.param('id')}" is not remembered by this node`;
    return context.json({ title, status: 404 }, 404);
  });
  application.post('/drain', (context) => {
    options.drain();
    return context.json({ draining: true }, 202);
  });
  return application;
}
