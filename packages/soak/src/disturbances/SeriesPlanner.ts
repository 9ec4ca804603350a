import type { RandomSource } from '@hickorybridge/utils';

import type { Disturbance, EarlySignal } from './Disturbance.js';
import { Profile } from './Profile.js';

/** What a plan is drawn for. */
export interface PlanOptions {
  readonly profile: Profile;
  readonly hosts: number;
  readonly seconds: number;
  readonly random: RandomSource;
}

type SeriesMaker = (at: number) => Disturbance[];

/** Draws the series of each kind. */
export class SeriesPlanner {
  readonly #hosts: number;

  readonly #random: RandomSource;

  constructor({ hosts, random }: PlanOptions) {
    this.#hosts = hosts;
    this.#random = random;
  }

  makersOf(profile: Profile): readonly SeriesMaker[] {
    switch (profile) {
      case Profile.planned:
        return [this.#stops, this.#stops, this.#reloads, this.#configurations, this.#drains];
      case Profile.faults:
        return [
          this.#kills,
          this.#pauses,
          this.#backendFaults,
          this.#storeFault,
          this.#stops,
          this.#configurations,
        ];
      case Profile.overload:
        return [this.#bursts, this.#slowBackends, this.#fewSlots, this.#hastyCallers, this.#kills];
      case Profile.starts:
        return [
          this.#restarts,
          this.#restarts,
          this.#restarts,
          this.#heldPorts,
          this.#manyStarts,
          this.#absentStore,
        ];
    }
  }

  readonly #stops: SeriesMaker = (at) => {
    const gap = this.#between(300, 2000);
    return this.#someHosts(1, 4).flatMap((host, index): Disturbance[] => {
      const time = at + index * gap;
      const absentMilliseconds = this.#between(100, 1500);
      const stop = { at: time, type: 'stop', host, absentMilliseconds } as const;
      // A reload or a second stop that arrives within the grace time.
      const further = this.#random.next();
      const later = time + this.#between(5, 1500);
      if (further < 0.2) return [stop, { at: later, type: 'reload', host }];
      return further < 0.4 ? [stop, { ...stop, at: later }] : [stop];
    });
  };

  readonly #reloads: SeriesMaker = (at) => {
    const count = 2 + this.#random.integerBelow(8);
    return Array.from({ length: count }, (_, index) => ({
      at: at + index * this.#between(5, 400),
      type: 'reload' as const,
      host: this.#host(),
    }));
  };

  readonly #configurations: SeriesMaker = (at) => {
    const count = 1 + this.#random.integerBelow(6);
    const gap = this.#between(100, 800);
    return Array.from({ length: count }, (_, index) => ({
      at: at + index * gap,
      type: 'configure' as const,
      timeoutFactor: 0.8 + 0.4 * this.#random.next(),
      extraRoutes: this.#random.next() < 0.2 ? 300 : this.#random.integerBelow(10),
    }));
  };

  readonly #drains: SeriesMaker = (at) =>
    this.#someHosts(1, 3).map((host, index) => ({
      at: at + index * this.#between(100, 1500),
      type: 'drain' as const,
      host,
      absentMilliseconds: this.#between(500, 3000),
    }));

  readonly #kills: SeriesMaker = (at) => {
    const together = this.#random.next() < 0.3;
    const hosts = this.#someHosts(1, 4);
    if (together) return [{ at, type: 'kill', hosts }];
    const gap = this.#between(50, 1200);
    return hosts.map((host, index) => ({ at: at + index * gap, type: 'kill', hosts: [host] }));
  };

  readonly #pauses: SeriesMaker = (at) =>
    this.#someHosts(1, 3).map((host) => ({
      at: at + this.#between(0, 1000),
      type: 'pause' as const,
      host,
      milliseconds: this.#between(300, 4000),
    }));

  readonly #backendFaults: SeriesMaker = (at) =>
    this.#someHosts(1, 3).map((host) => ({
      at: at + this.#between(0, 1000),
      type: 'backend-mode' as const,
      host,
      mode: (['slow', 'failing', 'breaking-off'] as const)[this.#random.integerBelow(3)] ?? 'slow',
      milliseconds: this.#between(2000, 6000),
    }));

  readonly #storeFault: SeriesMaker = (at) => [
    {
      at,
      type: 'store',
      state: (['absent', 'down', 'refusing'] as const)[this.#random.integerBelow(3)] ?? 'down',
      milliseconds: this.#between(1000, 5000),
    },
  ];

  readonly #bursts: SeriesMaker = (at) => [
    {
      at,
      type: 'load',
      factor: 1.5 + 2.5 * this.#random.next(),
      milliseconds: this.#between(2000, 5000),
    },
  ];

  readonly #slowBackends: SeriesMaker = (at) =>
    this.#someHosts(2, 5).map((host) => ({
      at: at + this.#between(0, 500),
      type: 'backend-mode' as const,
      host,
      mode: this.#random.next() < 0.7 ? ('slow' as const) : ('failing' as const),
      milliseconds: this.#between(3000, 6000),
    }));

  readonly #fewSlots: SeriesMaker = (at) =>
    this.#someHosts(3, this.#hosts).map((host) => ({
      at,
      type: 'slots' as const,
      host,
      slots: 1 + this.#random.integerBelow(2),
      milliseconds: this.#between(2000, 6000),
    }));

  readonly #hastyCallers: SeriesMaker = (at) => [
    { at, type: 'hasty-callers', milliseconds: this.#between(3000, 6000) },
  ];

  readonly #restarts: SeriesMaker = (at) => {
    const gap = this.#between(50, 700);
    return this.#someHosts(2, 5).map((host, index) => {
      const settings = {
        afterMilliseconds: this.#between(0, 150),
        atomically: this.#random.next() < 0.7,
      };
      return {
        at: at + index * gap,
        type: 'restart' as const,
        host,
        signals: this.#earlySignals(),
        ...(this.#random.next() < 0.3 ? { settings } : {}),
      };
    });
  };

  readonly #manyStarts: SeriesMaker = (at) =>
    this.#someHosts(Math.ceil(this.#hosts / 2), this.#hosts).map((host) => ({
      at,
      type: 'restart' as const,
      host,
      signals: [],
    }));

  readonly #heldPorts: SeriesMaker = (at) =>
    this.#someHosts(1, 2).map((host) => ({
      at,
      type: 'hold-port' as const,
      host,
      listener:
        (['callers', 'reports', 'readiness', 'peers'] as const)[this.#random.integerBelow(4)] ??
        'callers',
      milliseconds: this.#between(500, 3000),
    }));

  readonly #absentStore: SeriesMaker = (at) => [
    { at, type: 'store', state: 'absent', milliseconds: this.#between(1000, 4000) },
    ...this.#someHosts(1, 3).map((host) => ({
      at: at + this.#between(0, 300),
      type: 'restart' as const,
      host,
      signals: this.#earlySignals(),
    })),
  ];

  #earlySignals(): EarlySignal[] {
    const signals: EarlySignal[] = [];
    while (signals.length < 3 && this.#random.next() < 0.6) {
      signals.push({
        afterMilliseconds: this.#between(0, 300),
        signal: this.#random.next() < 0.7 ? 'SIGHUP' : 'SIGTERM',
      });
    }
    return signals;
  }

  #between(least: number, most: number): number {
    return Math.round(least + this.#random.next() * (most - least));
  }

  #host(): number {
    return this.#random.integerBelow(this.#hosts);
  }

  /** Draws different hosts, at least `least` and at most `most` where there are so many. */
  #someHosts(least: number, most: number): number[] {
    const highest = Math.min(most, this.#hosts);
    const lowest = Math.min(least, highest);
    const count = lowest + this.#random.integerBelow(highest - lowest + 1);
    const hosts = Array.from({ length: this.#hosts }, (_, index) => index);
    return Array.from(
      { length: count },
      () => hosts.splice(this.#random.integerBelow(hosts.length), 1)[0] as number,
    );
  }
}
