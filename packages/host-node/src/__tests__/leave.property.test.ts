import type { StandInObjectStore } from '@hickorybridge/stand-ins';
import { array, assert as check, asyncProperty, constantFrom, record } from 'fast-check';
import assert from 'node:assert/strict';
import { it, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import type { HostNode } from '../HostNode.js';
import {
  sendLeave,
  sendReport,
  sendRequest,
  startFleet,
  startNode,
  waitUntil,
  type FleetMember,
} from './fleet.js';

const seed = Number(process.env.FUZZ_SEED ?? 2026);
const runs = Number(process.env.FUZZ_RUNS ?? 6);
const maxStepsAround = 3;
const maxDisruptions = 2;
const drainMilliseconds = 50;
/** After an outage, a node reads the store again within seconds. */
const useLimitMilliseconds = 8000;
/** Too short to do anything before the end, as with a kill. */
const noGraceMilliseconds = 400;

const Step = {
  /** A report that arrives at once. */
  report: 'report',
  /** A report that arrives later. At most one is on its way. */
  delayReport: 'delay-report',
  deliverReport: 'deliver-report',
  /** The notice that the backend server leaves, which sends no reports after that. */
  leave: 'leave',
  /** A leave that is announced by reports. */
  drain: 'drain',
  /** Another start of the backend server under its id. */
  startAgain: 'start-again',
  storeDown: 'store-down',
  storeUp: 'store-up',
  /** From now on lists that may be stale show the present state. */
  freezeLists: 'freeze-lists',
  refreshLists: 'refresh-lists',
  killOne: 'kill-one',
  killAll: 'kill-all',
} as const;

type Step = (typeof Step)[keyof typeof Step];

const allSteps = Object.values(Step);
/** What happens between a leave and the late report from before it. */
const disruptions: readonly Step[] = [
  Step.storeDown,
  Step.storeUp,
  Step.freezeLists,
  Step.refreshLists,
  Step.killOne,
  Step.killAll,
];

/** Plays steps on the first host of a fleet, and checks each acknowledgement of a leave. */
class LeaveScenario {
  readonly #t: TestContext;

  readonly #store: StandInObjectStore;

  readonly #members: readonly FleetMember[];

  readonly #nodes: HostNode[];

  #born = 1;

  #sequence = 100;

  #isLeaving = false;

  /** When the leave of the present start was acknowledged, in monotonic milliseconds. */
  #acknowledgedAt: number | undefined;

  #delayed: { readonly born: number; readonly sequence: number } | undefined;

  #requests = 0;

  constructor(t: TestContext, store: StandInObjectStore, members: readonly FleetMember[]) {
    this.#t = t;
    this.#store = store;
    this.#members = members;
    this.#nodes = members.map(({ node }) => node);
  }

  async play(step: Step): Promise<void> {
    await this.#apply(step);
    if (this.#acknowledgedAt === undefined) return;
    await sleep(Math.max(0, this.#acknowledgedAt + drainMilliseconds - performance.now()));
    assert.deepEqual(await this.#requestsThatRan(), [], `a request ran after ${step}`);
  }

  /** Checks that a backend server which has not left is used after two reports. */
  async checkUse(): Promise<void> {
    await this.#apply(Step.storeUp);
    await this.#apply(Step.refreshLists);
    if (this.#isLeaving) await this.#apply(Step.startAgain);
    await waitUntil(() => this.#nodes.every((node) => node.ready && node.hostCount === 2));
    for (let count = 0; count < 3; count += 1) await this.#apply(Step.report);
    const end = performance.now() + useLimitMilliseconds;
    while ((await this.#requestsThatRan()).length === 0) {
      assert.ok(performance.now() < end, 'the backend server is not used');
      await sleep(100);
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.#nodes.map((node) => node.stop()));
  }

  get #first(): FleetMember {
    const [first] = this.#members;
    assert.ok(first !== undefined);
    return first;
  }

  async #apply(step: Step): Promise<void> {
    const { faults } = this.#store;
    switch (step) {
      case Step.report:
        if (this.#isLeaving) return;
        await this.#report('ready');
        break;
      case Step.delayReport:
        if (this.#isLeaving || this.#delayed !== undefined) return;
        this.#sequence += 1;
        this.#delayed = { born: this.#born, sequence: this.#sequence };
        break;
      case Step.deliverReport:
        if (this.#delayed === undefined) return;
        await sendReport(this.#first, { sequence: this.#delayed.sequence }, this.#delayed.born);
        this.#delayed = undefined;
        break;
      case Step.leave:
      case Step.drain:
        await this.#leave(step);
        break;
      case Step.startAgain:
        if (!this.#isLeaving) return;
        this.#born += 1000;
        this.#sequence = 0;
        this.#isLeaving = false;
        this.#acknowledgedAt = undefined;
        break;
      case Step.storeDown:
        faults.refuseWith = 503;
        break;
      case Step.storeUp:
        faults.refuseWith = undefined;
        await waitUntil(() => this.#nodes.every(({ ready }) => ready));
        break;
      case Step.freezeLists:
        faults.staleCopy = this.#store.copy();
        break;
      case Step.refreshLists:
        faults.staleCopy = undefined;
        break;
      case Step.killOne:
        await this.#restart([0]);
        break;
      default:
        await this.#restart([0, 1]);
    }
  }

  async #report(state: 'ready' | 'draining'): Promise<number> {
    this.#sequence += 1;
    const changes = { state, sequence: this.#sequence };
    return (await sendReport(this.#first, changes, this.#born)).status;
  }

  async #leave(step: typeof Step.leave | typeof Step.drain): Promise<void> {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    const status =
      step === Step.leave
        ? (await sendLeave(this.#first, this.#born)).status
        : await this.#report('draining');
    if (status === 200) this.#acknowledgedAt = performance.now();
  }

  async #restart(indexes: readonly number[]): Promise<void> {
    await Promise.all(indexes.map((index) => this.#nodes[index]?.stop()));
    // Pooled connections of the test's client notice that they are closed.
    await sleep(50);
    for (const index of indexes) {
      const member = this.#members[index];
      assert.ok(member !== undefined);
      this.#nodes[index] = await startNode(this.#t, member.settings);
    }
  }

  /** Sends requests to each node; returns the ids of those that the first backend server ran. */
  async #requestsThatRan(): Promise<string[]> {
    const { ran } = this.#first.backend;
    const before = ran.length;
    for (const { settings } of this.#members) {
      for (let count = 0; count < 4; count += 1) {
        this.#requests += 1;
        const id = `r${this.#requests}`;
        const path = `/reads/${this.#requests}`;
        await sendRequest(settings.listeners.callers.port, { path, id });
      }
    }
    return ran.slice(before);
  }
}

it('guards against requests to a backend server whose leave was acknowledged, in any order of events', async (t) => {
  const property = asyncProperty(
    record({
      before: array(constantFrom(...allSteps), { maxLength: maxStepsAround }),
      leave: constantFrom(Step.leave, Step.drain),
      store: constantFrom(Step.storeUp, Step.storeDown, Step.freezeLists),
      meanwhile: array(constantFrom(...disruptions), { maxLength: maxDisruptions }),
      kill: constantFrom(Step.killOne, Step.killAll),
      after: array(constantFrom(...allSteps), { maxLength: maxStepsAround }),
    }),
    async ({ after, before, kill, leave, meanwhile, store: storeState }) => {
      const { members, store } = await startFleet(t, ['one', 'two'], undefined, {
        drainMilliseconds,
        graceMilliseconds: noGraceMilliseconds,
      });
      const scenario = new LeaveScenario(t, store, members);
      const steps = [
        ...before,
        ...[Step.startAgain, Step.report, storeState, Step.delayReport, leave],
        ...meanwhile,
        ...[kill, Step.deliverReport, Step.storeUp],
        ...after,
      ];
      for (const step of steps) await scenario.play(step);
      await scenario.checkUse();
      await scenario.stop();
    },
  );
  await check(property, { seed, numRuns: runs, endOnFailure: true, includeErrorInReport: true });
});
