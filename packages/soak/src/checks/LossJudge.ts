import type { MeshBounds } from '../mesh/meshShape.js';
import { eventsOf, RequestEnd } from '../record/SoakEvent.js';
import type { Breach } from './Breach.js';
import { isInTouch, type Disruptions } from './disruptions.js';
import { lifeAt, type RequestTrace, type RunIndex } from './RunIndex.js';
import { overlaps } from './Spans.js';

/** How a request without an answer is judged. */
export const Judgement = {
  notSentWhole: 'notSentWhole',
  killed: 'killed',
  /** It crossed the node's close, and was not passed on. */
  crossedClose: 'crossedClose',
  backendBrokeOff: 'backendBrokeOff',
  /** Another listener held the port, and may have taken the connection. */
  portHeld: 'portHeld',
  timeReached: 'timeReached',
  endOfGrace: 'endOfGrace',
  gracePassed: 'gracePassed',
  disrupted: 'disrupted',
  rigStalled: 'rigStalled',
  /** No planned work; counts from the fourth on. */
  steady: 'steady',
  besideConfiguration: 'besideConfiguration',
  /** The node answered itself, and was not asked to stop. */
  ownAnswer: 'ownAnswer',
  breach: 'breach',
} as const;

export type Judgement = (typeof Judgement)[keyof typeof Judgement];

/** The timers of node and caller differ by less than this. */
const timerSlackMilliseconds = 30;
const lateRequestMilliseconds = 3000;
const afterGraceMilliseconds = 1000;
const usedShareOfTime = 0.7;
const cutsBesideConfiguration = 3;

/** Judges requests by the excuses of the rule. */
export class LossJudge {
  readonly #index: RunIndex;

  readonly #disruptions: Disruptions;

  readonly #bounds: MeshBounds;

  constructor(index: RunIndex, disruptions: Disruptions, bounds: MeshBounds) {
    this.#index = index;
    this.#disruptions = disruptions;
    this.#bounds = bounds;
  }

  judge(request: RequestTrace): Judgement {
    const { arrivals, ended, runEnds, sent } = request;
    if (ended?.sentAt === undefined) return Judgement.notSentWhole;
    const life = lifeAt(this.#index, sent.node, sent.at);
    const killed = life?.signals.some(
      ({ afterGrace, at, signal }) =>
        signal === 'SIGKILL' && afterGrace !== true && at <= ended.at + timerSlackMilliseconds,
    );
    if (killed === true) return Judgement.killed;
    const stopping = life?.signals.some(({ at, signal }) => signal === 'SIGTERM' && at <= ended.at);
    if (ended.end === RequestEnd.answered && stopping !== true) return Judgement.ownAnswer;
    const crossed = ended.at - ended.sentAt <= this.#bounds.lossSlack;
    if (arrivals.length === 0 && crossed) return Judgement.crossedClose;
    if (runEnds.some(({ end }) => end === 'broke-off')) return Judgement.backendBrokeOff;
    const held = this.#disruptions.heldPorts.get(sent.node) ?? [];
    if (overlaps(held, sent.at, ended.at)) return Judgement.portHeld;
    const limit = Math.min(sent.deadlineMilliseconds, sent.timeoutMilliseconds);
    if (ended.at - sent.at >= limit - timerSlackMilliseconds) return Judgement.timeReached;
    if (overlaps(this.#disruptions.rig, sent.at, ended.at)) return Judgement.rigStalled;
    return this.#judgePlanned(request, life?.signals ?? []);
  }

  /** Closes beside configurations count if a node cuts over three times as often then. */
  findCutsBesideConfiguration(cuts: readonly Breach[], all: number): readonly Breach[] {
    const { configuration } = this.#bounds;
    const length = configuration + 1000;
    const changes = eventsOf(this.#index.events, 'configuration').length;
    const beside = Math.max(1, Math.min(changes * length, this.#index.endedAt));
    const other = Math.max(1, this.#index.endedAt - beside);
    const usual = (all - cuts.length) / other;
    return cuts.length / beside > cutsBesideConfiguration * usual ? cuts : [];
  }

  #judgePlanned(
    request: RequestTrace,
    signals: readonly { readonly at: number; readonly signal: string }[],
  ): Judgement {
    const { ended, sent } = request;
    const { configuration, grace } = this.#bounds;
    const endedAt = ended?.at ?? sent.at;
    if (this.#isDisrupted(request, endedAt)) return Judgement.disrupted;
    const stop = signals.find(({ at, signal }) => signal === 'SIGTERM' && at <= endedAt)?.at;
    if (stop !== undefined) {
      if (endedAt > stop + grace + afterGraceMilliseconds) return Judgement.gracePassed;
      const lastSixth = stop + (grace * 5) / 6;
      const early = sent.at <= stop + lateRequestMilliseconds;
      const excused = early && endedAt >= lastSixth && wasAtWork(request, lastSixth);
      return excused ? Judgement.endOfGrace : Judgement.breach;
    }
    const reloaded = signals.some(
      ({ at, signal }) => signal === 'SIGHUP' && sent.at <= at + configuration && endedAt >= at,
    );
    if (reloaded) return Judgement.breach;
    const node = { from: sent.at, to: endedAt };
    if (isInTouch(this.#disruptions, this.#bounds, sent.node, node)) return Judgement.steady;
    const limit = Math.min(sent.deadlineMilliseconds, sent.timeoutMilliseconds);
    const changed = eventsOf(this.#index.events, 'configuration').some(
      ({ at }) => at <= endedAt && endedAt <= at + configuration + 1000,
    );
    const young = endedAt - sent.at < usedShareOfTime * limit;
    return changed && young ? Judgement.besideConfiguration : Judgement.disrupted;
  }

  /** Whether a machine or backend server that had to do with the request was disrupted. */
  #isDisrupted({ arrivals, sent }: RequestTrace, endedAt: number): boolean {
    const from = sent.at - this.#bounds.stabilityWindow;
    const { backends, unplanned } = this.#disruptions;
    const nodes = [sent.node, ...arrivals.map(({ node }) => node)];
    return (
      nodes.some((node) => overlaps(unplanned.get(node) ?? [], from, endedAt)) ||
      arrivals.some(({ backend }) => overlaps(backends.get(backend) ?? [], from, endedAt))
    );
  }
}

/** Whether a backend server worked on the request at a time. */
function wasAtWork({ arrivals, runEnds }: RequestTrace, at: number): boolean {
  const begun = arrivals.filter((each) => each.accepted && each.at <= at).length;
  return begun > runEnds.filter((each) => each.at < at).length;
}
