import { whenBodyEnds } from '@hickorybridge/peer-protocol';
import { Outcome } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { Observability } from '../Observability.js';
import type { RoutedOutcome, RoutedRequest } from './RoutedRequest.js';

/** A request before the router has given it its record. */
export type UnobservedRequest = Omit<RoutedRequest, 'flight'>;

/** Records the routing of each request of a caller. */
export class ObservedRouting {
  readonly #observability: Observability;

  readonly #clock: Clock;

  constructor(observability: Observability, clock: Clock) {
    this.#observability = observability;
    this.#clock = clock;
  }

  /** Routes a request and records how it ended. */
  async observe(
    request: UnobservedRequest,
    route: (request: RoutedRequest) => Promise<RoutedOutcome>,
  ): Promise<RoutedOutcome> {
    const { flights, tracer } = this.#observability;
    const { requestId, traceparent } = request;
    const service = request.service.name;
    const kind = request.kind.name;
    const flight = flights.begin({ requestId, service, kind, side: 'router' });
    const span = tracer.start({ name: 'route', service, kind, traceparent });
    const startedAt = this.#clock.now();
    const passedOn = span?.traceparent ?? traceparent;
    const outcome = await route({ ...request, flight, traceparent: passedOn });
    const finish = (told: Outcome, error?: string) => {
      const milliseconds = this.#clock.now() - startedAt;
      this.#observability.metrics.requestFinished(service, kind, told, milliseconds);
      if (outcome.type === 'failed') flight.end(told, outcome.problem, outcome.detail);
      else flight.end(told);
      span?.end(error === undefined ? {} : { error });
    };
    if (outcome.type === 'failed') {
      this.#observability.metrics.problems.at(outcome.problem).add();
      finish(outcome.outcome, outcome.detail);
      return outcome;
    }
    whenBodyEnds(outcome.body, (complete) => {
      if (complete) finish(Outcome.answered);
      else finish(Outcome.unknown, 'the answer was not completed');
    });
    return outcome;
  }
}
