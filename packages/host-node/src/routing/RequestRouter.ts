import { SharedRetryBudget } from '@hickorybridge/coordination';
import {
  CallerTimeoutEstimator,
  RouteTable,
  RouteWorkEstimator,
  WeightedSplit,
} from '@hickorybridge/routing';
import type { HostBounds, Route, RouteConfiguration } from '@hickorybridge/types';

import type { CallerOutcome, CallerRequest } from './CallerRequest.js';
import { RequestRun, type RequestRunOptions } from './RequestRun.js';

export interface RequestRouterOptions extends Omit<RequestRunOptions, 'retryBudgetFor'> {
  readonly bounds: HostBounds;
  /** Number of nodes known to share the retry budget, this one included; 0 before any is known. */
  readonly nodeCount: () => number;
  /** Whether this node has joined the others in this life of its process. */
  readonly isNewNode: () => boolean;
}

/**
 * Share of the allowed retries that the nodes use. The rest is left for the calls that retried
 * requests make, which count as retries too.
 */
const retryBudgetShare = 0.5;

/** Routes requests according to the current configuration. */
export class RequestRouter {
  readonly #options: RequestRouterOptions;

  readonly callerTimeoutEstimator = new CallerTimeoutEstimator();

  readonly #retryBudgets = new Map<string, SharedRetryBudget>();

  #configuration: RouteConfiguration | undefined;

  #table = new RouteTable([]);

  #splits = new Map<string, WeightedSplit>();

  constructor(options: RequestRouterOptions) {
    this.#options = options;
  }

  get configuration(): RouteConfiguration | undefined {
    return this.#configuration;
  }

  get routeWorkEstimator(): RouteWorkEstimator {
    return this.#options.routeWorkEstimator;
  }

  /** Usual work of the requests of a route, in milliseconds. */
  expectedWork({ name, targetMilliseconds }: Route): number {
    return this.#options.routeWorkEstimator.expectedWork(name, targetMilliseconds);
  }

  /** Applies a configuration. Returns false if it is not newer than the current one. */
  apply(configuration: RouteConfiguration): boolean {
    if (this.#configuration !== undefined && configuration.version <= this.#configuration.version) {
      return false;
    }
    this.#configuration = configuration;
    this.#table = new RouteTable(configuration.routes);
    this.#splits = new Map();
    const names = new Set(configuration.routes.map(({ name }) => name));
    this.#options.routeWorkEstimator.retain(names);
    this.#options.hedging?.retain(names);
    this.callerTimeoutEstimator.retain(names);
    return true;
  }

  findRoute(host: string, target: string): Route | undefined {
    return this.#table.find(host, target);
  }

  /** Chooses the service for the next request of a route. */
  chooseService(route: Route): string {
    const [only] = route.services;
    if (only !== undefined && route.services.length === 1) return only.service;
    let split = this.#splits.get(route.name);
    if (split === undefined) {
      split = new WeightedSplit(route.services, this.#options.random);
      this.#splits.set(route.name, split);
    }
    return split.next();
  }

  route(request: CallerRequest): Promise<CallerOutcome> {
    const retryBudgetFor = (service: string) => this.#retryBudgetFor(service);
    return new RequestRun({ ...this.#options, retryBudgetFor }, request).run();
  }

  #retryBudgetFor(service: string): SharedRetryBudget {
    const known = this.#retryBudgets.get(service);
    if (known !== undefined) return known;
    const { bounds, clock, isNewNode, nodeCount } = this.#options;
    const budget = new SharedRetryBudget({
      share: bounds.retryShare * retryBudgetShare,
      slack: bounds.retrySlack * retryBudgetShare,
      windowMilliseconds: bounds.retryWindowMilliseconds,
      memberCount: nodeCount,
      isNewMember: isNewNode,
      clock,
    });
    this.#retryBudgets.set(service, budget);
    return budget;
  }
}
