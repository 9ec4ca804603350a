import type { AdmissionOutcome, Permit } from '@hickorybridge/admission';
import { TryFailure, type TryResult, attemptsForTry, retryDecision } from '@hickorybridge/routing';
import type { BackendServerEntry } from '@hickorybridge/types';
import type { ModelRun } from './BackendServerModel.js';
import {
  maximumAttempts,
  type ModelBudgets,
  type ModelCluster,
  type ModelNode,
} from './ModelCluster.js';
import type { ModelNetwork } from './ModelNetwork.js';
import type { ModelOutcomes } from './ModelOutcomes.js';
import { requestBytes } from './modelDeployments.js';
import type { Arrival } from './scenarios.js';
import type { VirtualTime } from './VirtualTime.js';

/** Everything that a request touches. */
export interface ModelWorld {
  readonly time: VirtualTime;
  readonly network: ModelNetwork;
  readonly cluster: ModelCluster;
  readonly outcomes: ModelOutcomes;
  readonly hedged: boolean;
}

interface Try {
  readonly entry: BackendServerEntry;
  readonly node: ModelNode;
  readonly sentAt: number;
  readonly carried: number;
  readonly attempts: number;
  readonly cancellation: AbortController;
  run: ModelRun | undefined;
  permit: Permit | undefined;
  ended: boolean;
}

/** Sizes of a request and its answer, as shares of the bytes of both. */
const requestShare = 0.2;

/** One request on its way through a router, with all its tries. */
export class ModelRequest {
  readonly #world: ModelWorld;

  readonly #arrival: Arrival;

  readonly #router: ModelNode;

  readonly #budgets: ModelBudgets;

  readonly #service: string;

  readonly #deadline: number;

  readonly #tries: Try[] = [];

  readonly #excluded = new Set<string>();

  #done = false;

  constructor(
    world: ModelWorld,
    arrival: Arrival,
    { router, budgets, service }: { router: ModelNode; budgets: ModelBudgets; service: string },
  ) {
    this.#world = world;
    this.#arrival = arrival;
    this.#router = router;
    this.#budgets = budgets;
    this.#service = service;
    this.#deadline = world.time.now() + arrival.kind.deadlineMilliseconds;
  }

  start(): void {
    const { time, hedged } = this.#world;
    const { kind } = this.#arrival;
    this.#budgets.retries.recordFirstAttempt();
    this.#budgets.hedges.firstTry();
    time.at(this.#deadline, () => this.#fail());
    const delay = this.#budgets.hedges.delayFor(kind.name);
    if (hedged && kind.idempotent && delay !== undefined) time.after(delay, () => this.#hedge());
    this.#send(maximumAttempts);
  }

  #send(attempts: number): void {
    const entry = this.#select(false);
    if (entry === undefined) this.#fail();
    else this.#sendTo(entry, attempts);
  }

  #select(hedged: boolean): BackendServerEntry | undefined {
    return this.#router.selector.select({
      service: this.#service,
      deadline: this.#deadline,
      expectedBytes: requestBytes,
      excluded: this.#excluded,
      hedged,
    });
  }

  #sendTo(entry: BackendServerEntry, attempts: number): void {
    const node = this.#world.cluster.get(entry.backendServerId);
    if (node === undefined) throw new Error(`no modelled node for ${entry.backendServerId}`);
    const { idempotent } = this.#arrival.kind;
    const attempt: Try = {
      entry,
      node,
      sentAt: this.#world.time.now(),
      carried: attemptsForTry({ attempts, idempotent, depth: 0 }),
      attempts,
      cancellation: new AbortController(),
      run: undefined,
      permit: undefined,
      ended: false,
    };
    this.#world.outcomes.tried(this.#arrival);
    this.#tries.push(attempt);
    this.#excluded.add(entry.backendServerId);
    this.#router.selector.recordSent(entry);
    this.#deliverTo(node, () => this.#admit(attempt));
  }

  #admit(attempt: Try): void {
    const { kind } = this.#arrival;
    const request = {
      kind: kind.name,
      weight: kind.weight,
      depth: 0,
      deadline: this.#deadline - this.#router.selector.roundTripTo(attempt.entry) / 2,
      signal: attempt.cancellation.signal,
    };
    attempt.node.admission
      .admit(request)
      .then((outcome) => this.#admissionDecided(attempt, outcome));
  }

  #admissionDecided(attempt: Try, outcome: AdmissionOutcome): void {
    if (outcome.type === 'refused') {
      const report = attempt.node.admission.report();
      this.#deliverBack(attempt, () => this.#refused(attempt, { type: 'refused', report }));
      return;
    }
    const startedAt = this.#world.time.now();
    const run: ModelRun = {
      work: this.#arrival.work,
      done: () => {
        outcome.permit.release(this.#world.time.now() - startedAt);
        this.#answer(attempt);
      },
      cancelled: false,
      running: false,
    };
    Object.assign(attempt, { run, permit: outcome.permit });
    attempt.node.backendServer.start(run);
  }

  #answer(attempt: Try): void {
    const report = attempt.node.admission.report();
    this.#deliverBack(attempt, () => {
      if (attempt.ended) return;
      const elapsedMilliseconds = this.#world.time.now() - attempt.sentAt;
      this.#end(attempt, { type: 'answered', report, elapsedMilliseconds });
      Object.assign(attempt, { run: undefined });
      this.#budgets.hedges.recordResponseTime(this.#arrival.kind.name, elapsedMilliseconds);
      this.#world.outcomes.answered(this.#arrival, this.#world.time.now());
      this.#finish();
    });
  }

  #refused(attempt: Try, result: TryResult): void {
    if (attempt.ended) return;
    this.#end(attempt, result);
    if (this.#done || this.#tries.some((other) => !other.ended)) return;
    const decision = retryDecision({
      failure: TryFailure.notRun,
      idempotent: this.#arrival.kind.idempotent,
      mayHaveRun: false,
      attempts: attempt.attempts,
      carried: attempt.carried,
      deadline: this.#deadline,
      now: this.#world.time.now(),
      minimumTryMilliseconds: 0,
      budget: this.#budgets.retries,
    });
    if (decision.type === 'retry') this.#send(decision.attempts);
    else this.#fail();
  }

  #hedge(): void {
    const [first] = this.#tries;
    if (this.#done || first === undefined || this.#tries.length !== 1 || first.ended) return;
    const { time } = this.#world;
    const late = {
      kind: this.#arrival.kind.name,
      idempotent: this.#arrival.kind.idempotent,
      attemptsKept: first.attempts - first.carried,
      elapsedMilliseconds: time.now() - first.sentAt,
      remainingMilliseconds: this.#deadline - time.now(),
    };
    if (!this.#budgets.hedges.tryHedge(late)) return;
    const entry = this.#select(true);
    if (entry === undefined) this.#budgets.hedges.returnToken();
    else this.#sendTo(entry, 1);
  }

  #fail(): void {
    if (this.#done) return;
    this.#world.outcomes.failed(this.#arrival);
    this.#finish();
  }

  /** Cancels what is still under way; a run that has begun is then wasted. */
  #finish(): void {
    this.#done = true;
    for (const attempt of this.#tries.filter((other) => !other.ended)) {
      this.#end(attempt, { type: 'cancelled' });
      this.#deliverTo(attempt.node, () => this.#cancelAt(attempt));
    }
  }

  #cancelAt(attempt: Try): void {
    attempt.cancellation.abort();
    if (attempt.run === undefined) return;
    this.#world.outcomes.wasted(this.#arrival);
    attempt.node.backendServer.cancel(attempt.run);
    attempt.permit?.release();
  }

  #end(attempt: Try, result: TryResult): void {
    Object.assign(attempt, { ended: true });
    this.#router.selector.recordResult(attempt.entry, result);
  }

  #deliverTo(node: ModelNode, arrived: () => void): void {
    const bytes = requestBytes * requestShare;
    this.#world.network.deliver(this.#router.location, node.location, bytes, arrived);
  }

  #deliverBack({ node }: Try, arrived: () => void): void {
    const bytes = requestBytes * (1 - requestShare);
    this.#world.network.deliver(node.location, this.#router.location, bytes, arrived);
  }
}
