import assert from 'node:assert/strict';
import { describe, it, type TestContext } from 'node:test';

import { StallDetector } from '../StallDetector.js';
import type { TimerClock } from '../clock.js';

const tickMilliseconds = 100;

/** A process whose clocks and event loop the test drives. */
class ManualProcess {
  readonly detector: StallDetector;

  #now = 1000;

  #wallTime = 1_700_000_000_000;

  #callback: (() => void) | undefined;

  readonly #turns: (() => void)[] = [];

  constructor(t: TestContext) {
    const clock: TimerClock = {
      now: () => this.#now,
      wallTime: () => this.#wallTime,
      sleep: () => Promise.reject(new Error('the detector does not sleep')),
      schedule: (_milliseconds, callback) => {
        this.#callback = callback;
        return () => {
          this.#callback = undefined;
        };
      },
    };
    this.detector = new StallDetector({ clock, nextTurn: (turn) => this.#turns.push(turn) });
    t.after(() => this.detector[Symbol.asyncDispose]());
  }

  /** Time that a request read now may have lain unread, in milliseconds. */
  get unreadMilliseconds(): number {
    return this.#now - this.detector.unreadSince();
  }

  /** Runs for a time in which the timers fire. */
  run(milliseconds: number): void {
    for (let rest = milliseconds; rest > 0; rest -= tickMilliseconds) {
      this.pause(Math.min(rest, tickMilliseconds));
      this.#callback?.();
      this.finishTurns(1);
    }
  }

  /** Stands still, like a process that got SIGSTOP or has no processor. */
  pause(milliseconds: number): void {
    this.#now += milliseconds;
    this.#wallTime += milliseconds;
  }

  /** Stands still like a suspended host, whose monotonic clock does not run. */
  suspend(milliseconds: number): void {
    this.#wallTime += milliseconds;
  }

  stepWallTime(milliseconds: number): void {
    this.#wallTime += milliseconds;
  }

  finishTurns(count: number): void {
    for (let turn = 0; turn < count; turn += 1) this.#turns.shift()?.();
  }
}

function assertBetween(value: number, low: number, high: number): void {
  assert.ok(value >= low && value <= high, `${value} is not between ${low} and ${high}`);
}

describe('requests that lay unread while the process stood still', () => {
  it('paused node: guards against time in the socket that is not taken off', (t) => {
    for (const milliseconds of [600, 1500, 4300]) {
      const manual = new ManualProcess(t);
      manual.run(1000);
      manual.pause(milliseconds);
      // The tick is up to 100 ms old when the pause begins.
      assertBetween(manual.unreadMilliseconds, milliseconds - tickMilliseconds, milliseconds);
    }
  });

  it('new connections: guards against requests that are read some turns after the pause', (t) => {
    const manual = new ManualProcess(t);
    manual.run(1000);
    manual.pause(2000);
    for (let connection = 0; connection < 50; connection += 1) {
      manual.detector.recordActivity();
      manual.finishTurns(1);
      assertBetween(manual.unreadMilliseconds, 1900, 2000);
    }
  });

  it('suspended host: guards against a pause that the monotonic clock does not count', (t) => {
    const manual = new ManualProcess(t);
    manual.run(1000);
    manual.suspend(3000);
    assertBetween(manual.unreadMilliseconds, 2900, 3000);
  });

  it('steady load: guards against time that is taken off without a pause', (t) => {
    const manual = new ManualProcess(t);
    for (let round = 0; round < 100; round += 1) {
      manual.run(30);
      assert.equal(manual.unreadMilliseconds, 0);
      // A quota that is used up until the end of its period, or a garbage collection.
      manual.pause(90);
      assert.equal(manual.unreadMilliseconds, 0);
      manual.run(10);
    }
  });

  it('after a pause: guards against time that is taken off for longer than the backlog', (t) => {
    const manual = new ManualProcess(t);
    manual.run(1000);
    manual.pause(2000);
    assert.ok(manual.unreadMilliseconds > 0);
    manual.finishTurns(3);
    assert.equal(manual.unreadMilliseconds, 0);
  });

  it('busy machine: guards against a backlog that never seems to end', (t) => {
    const manual = new ManualProcess(t);
    manual.run(1000);
    manual.pause(2000);
    for (let turn = 0; turn < 10; turn += 1) {
      manual.detector.recordActivity();
      manual.run(tickMilliseconds);
    }
    assert.equal(manual.unreadMilliseconds, 0);
  });

  it('clock steps: guards against deadlines that a step of the time of day moves for good', (t) => {
    const manual = new ManualProcess(t);
    for (const step of [-5000, 5000, -200, 200]) {
      manual.run(1000);
      manual.stepWallTime(step);
      manual.run(tickMilliseconds);
      manual.finishTurns(3);
      assert.equal(manual.unreadMilliseconds, 0, `after a step by ${step} ms`);
    }
  });
});
