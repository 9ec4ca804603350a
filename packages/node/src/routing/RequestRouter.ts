import type { RoutingSettings } from '@hickorybridge/configuration';
import type { BackendServerSelector } from '@hickorybridge/routing';
import type { Clock, RandomSource } from '@hickorybridge/utils';

import type { Observability } from '../Observability.js';
import type { SendToNode } from './RequestTry.js';
import type { RoutedOutcome, RoutedRequest } from './RoutedRequest.js';
import { RoutingRun } from './RoutingRun.js';
import { ServiceRouting } from './ServiceRouting.js';

/** What a router is made of. */
export interface RequestRouterOptions {
  readonly settings: RoutingSettings;
  readonly selector: BackendServerSelector;
  readonly send: SendToNode;
  readonly observability: Observability;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Finds a backend server for each request, and tries again where that is proven to be safe. */
export class RequestRouter {
  readonly #options: RequestRouterOptions;

  readonly #services = new Map<string, ServiceRouting>();

  constructor(options: RequestRouterOptions) {
    this.#options = options;
  }

  async route(request: RoutedRequest): Promise<RoutedOutcome> {
    const budgets = this.#budgetsOf(request.service.name);
    budgets.firstTry();
    return new RoutingRun({ ...this.#options, request, budgets }).run();
  }

  #budgetsOf(service: string): ServiceRouting {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const budgets = new ServiceRouting(this.#options.settings, this.#options.clock);
    this.#services.set(service, budgets);
    return budgets;
  }
}
