import {
  RequestMatcher,
  parseDeployment,
  type AcceptedDeployment,
} from '@hickorybridge/configuration';
import type { Logger } from '@hickorybridge/logger';
import { createSelector, type SelectorContext } from '@hickorybridge/routing';
import type { BackendServerDirectory } from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';
import { isDeepStrictEqual } from 'node:util';

import type { EffectiveDeployment } from '../listeners/parseCallerRequest.js';
import type { Observability } from '../Observability.js';
import { RequestRouter } from './RequestRouter.js';
import type { SendToNode } from './RequestTry.js';

/** What the routing in effect is made of. */
export interface EffectiveRoutingOptions {
  readonly directory: BackendServerDirectory;
  readonly context: SelectorContext;
  readonly send: SendToNode;
  readonly observability: Observability;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** The deployment in effect and the router that was made for it. */
export class EffectiveRouting {
  readonly #options: EffectiveRoutingOptions;

  #effective: EffectiveDeployment | undefined;

  #router: RequestRouter | undefined;

  constructor(options: EffectiveRoutingOptions) {
    this.#options = options;
  }

  get effective(): EffectiveDeployment | undefined {
    return this.#effective;
  }

  get router(): RequestRouter | undefined {
    return this.#router;
  }

  /** Puts a deployment into effect. What routers have learnt is kept when the rules stay. */
  apply(accepted: AcceptedDeployment): void {
    const { clock, context, directory, logger, observability, random, send } = this.#options;
    const parsed = parseDeployment(accepted.text, `deployment ${accepted.number}`);
    if (!parsed.ok) {
      logger.error('deployment-not-usable', 'the accepted deployment cannot be read by this node', {
        number: accepted.number,
        problem: parsed.error[0]?.message,
      });
      return;
    }
    const deployment = parsed.value;
    const settings = deployment.routing;
    const unchanged = isDeepStrictEqual(settings, this.#effective?.deployment.routing);
    const matcher = new RequestMatcher(deployment);
    this.#effective = { number: accepted.number, deployment, matcher };
    if (unchanged && this.#router !== undefined) return;
    const selector = createSelector({ settings, context, directory, clock, random: random.fork() });
    this.#router = new RequestRouter({
      settings,
      selector,
      send,
      observability,
      clock,
      random: random.fork(),
    });
  }
}
