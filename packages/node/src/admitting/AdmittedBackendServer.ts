import type { AdmissionController, Permit } from '@hickorybridge/admission';
import {
  whenBodyEnds,
  type ExecutionOutcome,
  type RequestBody,
  type RequestExecutor,
} from '@hickorybridge/peer-protocol';
import type { Announcement, LoadReport, RequestHead } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

import type { BackendServerClient } from './BackendServerClient.js';

// An error may come much faster than an answer and says nothing about the service time.
const firstServerError = 500;

/** What an admitted backend server is made of. */
export interface AdmittedBackendServerOptions {
  readonly announcement: Announcement;
  readonly controller: AdmissionController;
  readonly client: BackendServerClient;
  readonly clock: Clock;
}

/** A backend server on this host, behind its admission. The only way to it. */
export class AdmittedBackendServer implements RequestExecutor, AsyncDisposable {
  readonly announcement: Announcement;

  readonly #controller: AdmissionController;

  readonly #client: BackendServerClient;

  readonly #clock: Clock;

  constructor(options: AdmittedBackendServerOptions) {
    this.announcement = options.announcement;
    this.#controller = options.controller;
    this.#client = options.client;
    this.#clock = options.clock;
  }

  report(): LoadReport {
    return this.#controller.report();
  }

  /** Refuses new requests from now on; those queued or in flight go on. */
  leave(): void {
    this.#controller.stopAdmitting();
  }

  /** Resolves when no request is queued or in flight. */
  async idle(): Promise<void> {
    await this.#controller.waitUntilIdle();
  }

  async execute(
    head: RequestHead,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<ExecutionOutcome> {
    const { kind, weight, depth, deadline } = head;
    const admission = await this.#controller.admit({ kind, weight, depth, deadline, signal });
    if (admission.type === 'refused') {
      return { type: 'refused', reason: admission.reason, report: this.report() };
    }
    return this.#run(head, body, signal, admission.permit);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.leave();
    await this.#client[Symbol.asyncDispose]();
  }

  async #run(
    head: RequestHead,
    body: RequestBody,
    signal: AbortSignal,
    permit: Permit,
  ): Promise<ExecutionOutcome> {
    const startedAt = this.#clock.now();
    // Checked again here, because this process may have been paused since the admission.
    if (signal.aborted || startedAt >= head.deadline) {
      permit.release();
      const reason = signal.aborted ? 'cancelled' : 'deadline-passed';
      return { type: 'refused', reason, report: this.report() };
    }
    const exchange = this.#client.send(head, body);
    const cancel = () => exchange.cancel('cancelled');
    const expire = () => exchange.cancel('deadline-passed');
    signal.addEventListener('abort', cancel, { once: true });
    const timer = setTimeout(expire, head.deadline - startedAt);
    const outcome = await exchange.outcome;
    clearTimeout(timer);
    signal.removeEventListener('abort', cancel);
    if (outcome.type === 'answered') {
      whenBodyEnds(outcome.body, (complete) => {
        const usable = complete && outcome.head.status < firstServerError;
        permit.release(usable ? this.#clock.now() - startedAt : undefined);
      });
      return { ...outcome, report: this.report() };
    }
    permit.release();
    if (outcome.type === 'lost') return outcome;
    return { type: 'refused', reason: outcome.reason, report: this.report() };
  }
}
