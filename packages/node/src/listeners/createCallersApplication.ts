import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Outcome, ProblemName } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import { Hono } from 'hono';

import type { UnobservedRequest } from '../routing/ObservedRouting.js';
import { failed, type RoutedOutcome } from '../routing/RoutedRequest.js';
import { CallerExchange } from './CallerExchange.js';
import type { ListenerEnvironment } from './HttpListener.js';
import type { OpenExchanges } from './OpenExchanges.js';
import { parseCallerRequest, withBody, type EffectiveDeployment } from './parseCallerRequest.js';
import { readRequestBody } from './readRequestBody.js';

/** What the callers' listener needs. */
export interface CallersApplicationOptions {
  /** The deployment in effect; `undefined` until the node has learnt one. */
  readonly effective: () => EffectiveDeployment | undefined;
  readonly route: (request: UnobservedRequest) => Promise<RoutedOutcome>;
  readonly nextRequestId: () => string;
  /** True while the node is stopping; callers are then asked to close their connections. */
  readonly stopping: () => boolean;
  readonly open: OpenExchanges;
  readonly clock: Clock;
}

/** Makes the application that serves callers. Bodies pass as streams of Node.js. */
export function createCallersApplication(
  options: CallersApplicationOptions,
): Hono<ListenerEnvironment> {
  const application = new Hono<ListenerEnvironment>();
  application.all('*', async (context) => {
    const { incoming, outgoing } = context.env;
    const requestId = options.nextRequestId();
    const exchange = new CallerExchange(incoming, outgoing, requestId, options.stopping);
    options.open.add(exchange);
    try {
      const outcome = await handleRequest(exchange, options);
      await exchange.reply(outcome);
    } finally {
      options.open.remove(exchange);
    }
    return RESPONSE_ALREADY_SENT;
  });
  return application;
}

async function handleRequest(
  exchange: CallerExchange,
  options: CallersApplicationOptions,
): Promise<RoutedOutcome> {
  const effective = options.effective();
  if (effective === undefined) {
    const detail = 'this node has not learnt a configuration yet; ask another node';
    return failed(ProblemName.notReady, Outcome.notRun, detail);
  }
  const { incoming, requestId, gone } = exchange;
  const { clock } = options;
  const request = parseCallerRequest(incoming, { effective, requestId, signal: gone, clock });
  if (!request.ok) return request.error;
  const body = await readRequestBody(incoming);
  if (!body.ok) {
    return failed(ProblemName.badRequest, Outcome.notRun, 'the body of the request is incomplete');
  }
  return options.route(withBody(request.value, body.value));
}
