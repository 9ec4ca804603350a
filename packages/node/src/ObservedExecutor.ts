import {
  whenBodyEnds,
  type ExecutionOutcome,
  type RequestBody,
  type RequestExecutor,
} from '@hickorybridge/peer-protocol';
import type { FlightRecord, Span } from '@hickorybridge/telemetry';
import { Outcome, type RequestHead } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';
import { match } from 'ts-pattern';

import type { Observability } from './Observability.js';

/** Records what the admission side does with each request. */
export class ObservedExecutor implements RequestExecutor {
  readonly #executor: RequestExecutor;

  readonly #observability: Observability;

  readonly #clock: Clock;

  constructor(executor: RequestExecutor, observability: Observability, clock: Clock) {
    this.#executor = executor;
    this.#observability = observability;
    this.#clock = clock;
  }

  async execute(
    head: RequestHead,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<ExecutionOutcome> {
    const { flights, tracer } = this.#observability;
    const { kind, requestId, service, traceparent } = head;
    const record = flights.begin({ requestId, service, kind, side: 'admission' });
    const span = tracer.start({ name: 'admit', service, kind, traceparent });
    const passed = span === undefined ? head : { ...head, traceparent: span.traceparent };
    const startedAt = this.#clock.now();
    const outcome = await this.#executor.execute(passed, body, signal);
    match(outcome)
      .with({ type: 'answered' }, (answered) =>
        this.#observeAnswer(head, answered, { record, span, startedAt }),
      )
      .with({ type: 'refused' }, ({ reason }) => {
        this.#observability.metrics.refusals.at(service, reason).add();
        record.add({ type: 'refused', backendServerId: head.backendServerId, reason });
        record.end(Outcome.notRun);
        span?.end({ error: reason });
      })
      .with({ type: 'lost' }, ({ detail }) => {
        const { backendServerId } = head;
        record.add({ type: 'lost', backendServerId, mayHaveRun: true, detail });
        record.end(Outcome.unknown);
        span?.end({ error: detail });
      })
      .exhaustive();
    return outcome;
  }

  #observeAnswer(
    head: RequestHead,
    { head: answer, body }: Extract<ExecutionOutcome, { type: 'answered' }>,
    observed: { record: FlightRecord; span: Span | undefined; startedAt: number },
  ): void {
    const { record, span, startedAt } = observed;
    const { backendServerId, kind, service } = head;
    record.add({ type: 'answered', backendServerId, status: answer.status });
    whenBodyEnds(body, (complete) => {
      const milliseconds = this.#clock.now() - startedAt;
      if (complete) {
        this.#observability.metrics.admittedDuration.at(service, kind).record(milliseconds);
      }
      record.end(complete ? Outcome.answered : Outcome.unknown);
      span?.end(complete ? {} : { error: 'the answer was not completed' });
    });
  }
}
