import type { RandomSource } from '@hickorybridge/utils';

import { services } from '../mesh/meshShape.js';
import type { Disturbance, EarlySignal } from './Disturbance.js';
import { Profile } from './Profile.js';

/** Makes a series of disturbances that begins at a time. */
export type SeriesMaker = (at: number) => Disturbance[];

/** The first draws hardly differ between small seeds: 1 to 7 all gave the same two hosts. */
const similarDraws = 8;

/** Draws series of disturbances. */
export class SeriesPlanner {
  readonly #hosts: number;

  readonly #random: RandomSource;

  constructor(hosts: number, random: RandomSource) {
    this.#hosts = hosts;
    this.#random = random;
  }

  /** Gives the kinds of series of a profile; one that is named twice is drawn twice as often. */
  makersOf(profile: Exclude<Profile, 'tenants'>): readonly SeriesMaker[] {
    const stops = this.#stops;
    const restarts = this.#restarts;
    const configurations = this.#configurations;
    switch (profile) {
      case Profile.planned:
        return [stops, stops, this.#reloads, configurations, this.#drains];
      case Profile.faults:
        return [this.#kills, this.#pauses, this.#backendFaults, this.#store, stops, configurations];
      case Profile.overload:
        return [
          this.#burst,
          this.#slowBackends,
          this.#faultyService,
          this.#faultyService,
          this.#fewSlots,
          this.#hastyCallers,
          this.#kills,
        ];
      case Profile.starts:
        return [restarts, restarts, restarts, this.#heldPorts, this.#manyStarts, this.#absentStore];
    }
  }

  /**
   * Kills one node and pauses another, which cuts it off, around the removal of a key. Afterwards
   * tenants compete for one slot at each backend server. Brokers grant no tokens in the first seconds,
   * so nothing is disturbed then.
   */
  planTenants(milliseconds: number): Disturbance[] {
    for (let draw = 0; draw < similarDraws; draw += 1) this.#random.next();
    const [killed = 0, paused = 0] = this.#someHosts(2, 2);
    const at = (least: number, most: number) =>
      Math.round(milliseconds * (least + this.#random.next() * (most - least)));
    const competition = at(0.55, 0.65);
    const few = (host: number): Disturbance => ({
      at: competition,
      type: 'slots',
      host,
      slots: 1,
      milliseconds: 5000,
    });
    return [
      { at: at(0.22, 0.32), type: 'kill', host: killed },
      { at: at(0.32, 0.42), type: 'pause', host: paused, milliseconds: this.#between(1500, 4000) },
      { at: at(0.42, 0.5), type: 'remove-key' },
      ...Array.from({ length: this.#hosts }, (_, host) => few(host)),
    ];
  }

  readonly #stops: SeriesMaker = (at) => {
    const gap = this.#between(300, 2000);
    return this.#someHosts(1, 4).flatMap((host, index): Disturbance[] => {
      const time = at + index * gap;
      const absentMilliseconds = this.#between(100, 1500);
      const stop = { at: time, type: 'stop', host, absentMilliseconds } as const;
      // A reload or a second stop that arrives within the grace time.
      const later = time + this.#between(5, 1500);
      if (this.#chance(0.2)) return [stop, { at: later, type: 'reload', host }];
      return this.#chance(0.25) ? [stop, { ...stop, at: later }] : [stop];
    });
  };

  readonly #reloads: SeriesMaker = (at) =>
    this.#times(2, 9).map((index) => ({
      at: at + index * this.#between(5, 400),
      type: 'reload',
      host: this.#random.integerBelow(this.#hosts),
    }));

  readonly #configurations: SeriesMaker = (at) => {
    const gap = this.#between(100, 800);
    return this.#times(1, 6).map((index) => ({
      at: at + index * gap,
      type: 'configure',
      timeoutFactor: this.#between(80, 120) / 100,
      extraRoutes: this.#chance(0.2) ? 300 : this.#between(0, 10),
    }));
  };

  readonly #drains: SeriesMaker = (at) =>
    this.#someHosts(1, 3).map((host, index) => ({
      at: at + index * this.#between(100, 1500),
      type: 'drain',
      host,
      absentMilliseconds: this.#between(500, 3000),
    }));

  readonly #kills: SeriesMaker = (at) => {
    const gap = this.#chance(0.3) ? 0 : this.#between(50, 1200);
    return this.#someHosts(1, 4).map((host, index) => ({
      at: at + index * gap,
      type: 'kill',
      host,
    }));
  };

  readonly #pauses: SeriesMaker = (at) =>
    this.#someHosts(1, 3).map((host) => ({
      at: at + this.#between(0, 1000),
      type: 'pause',
      host,
      milliseconds: this.#between(300, 4000),
    }));

  readonly #backendFaults: SeriesMaker = (at) =>
    this.#someHosts(1, 3).map((host) => ({
      at: at + this.#between(0, 1000),
      type: 'backend-mode',
      host,
      mode: this.#oneOf(['slow', 'failing', 'breaking-off', 'shedding']),
      milliseconds: this.#between(2000, 6000),
    }));

  readonly #store: SeriesMaker = (at) => {
    const state = this.#oneOf(['absent', 'down', 'refusing'] as const);
    return [{ at, type: 'store', state, milliseconds: this.#between(1000, 5000) }];
  };

  readonly #burst: SeriesMaker = (at) => {
    const factor = this.#between(15, 40) / 10;
    return [{ at, type: 'load', factor, milliseconds: this.#between(2000, 5000) }];
  };

  readonly #slowBackends: SeriesMaker = (at) =>
    this.#someHosts(2, 5).map((host) => ({
      at: at + this.#between(0, 500),
      type: 'backend-mode',
      host,
      mode: this.#oneOf(['slow', 'slow', 'failing']),
      milliseconds: this.#between(3000, 6000),
    }));

  /** All backend servers of one service fail, reject or break off a part of their requests. */
  readonly #faultyService: SeriesMaker = (at) => {
    const mode = this.#oneOf(['failing', 'shedding', 'breaking-off'] as const);
    const milliseconds = this.#between(4000, 9000);
    const first = this.#random.integerBelow(services.length);
    const hosts = Array.from({ length: this.#hosts }, (_, index) => index);
    return hosts
      .filter((host) => host % services.length === first)
      .map((host) => ({ at, type: 'backend-mode', host, mode, milliseconds }));
  };

  readonly #fewSlots: SeriesMaker = (at) =>
    this.#someHosts(3, this.#hosts).map((host) => ({
      at,
      type: 'slots',
      host,
      slots: this.#between(1, 2),
      milliseconds: this.#between(2000, 6000),
    }));

  readonly #hastyCallers: SeriesMaker = (at) => [
    { at, type: 'hasty-callers', milliseconds: this.#between(3000, 6000) },
  ];

  readonly #restarts: SeriesMaker = (at) => {
    const gap = this.#between(50, 700);
    return this.#someHosts(2, 5).map((host, index) => {
      const atomically = this.#chance(0.7);
      const settings = { afterMilliseconds: this.#between(0, 150), atomically };
      return {
        at: at + index * gap,
        type: 'restart',
        host,
        signals: this.#earlySignals(),
        ...(this.#chance(0.3) ? { settings } : {}),
      };
    });
  };

  readonly #manyStarts: SeriesMaker = (at) =>
    this.#someHosts(Math.ceil(this.#hosts / 2), this.#hosts).map((host) => ({
      at,
      type: 'restart',
      host,
      signals: [],
    }));

  readonly #heldPorts: SeriesMaker = (at) =>
    this.#someHosts(1, 2).map((host) => ({
      at,
      type: 'hold-port',
      host,
      listener: this.#oneOf(['callers', 'reports', 'readiness', 'peers']),
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
    while (signals.length < 3 && this.#chance(0.6)) {
      signals.push({
        afterMilliseconds: this.#between(0, 300),
        signal: this.#chance(0.7) ? 'SIGHUP' : 'SIGTERM',
      });
    }
    return signals;
  }

  #chance(probability: number): boolean {
    return this.#random.next() < probability;
  }

  #between(least: number, most: number): number {
    return Math.round(least + this.#random.next() * (most - least));
  }

  #oneOf<Value>(values: readonly [Value, ...Value[]]): Value {
    return values[this.#random.integerBelow(values.length)] ?? values[0];
  }

  /** Gives the places of a series whose length is drawn. */
  #times(least: number, most: number): number[] {
    return Array.from({ length: this.#between(least, most) }, (_, index) => index);
  }

  /** Draws different hosts, at least `least` and at most `most` where there are so many. */
  #someHosts(least: number, most: number): number[] {
    const hosts = Array.from({ length: this.#hosts }, (_, index) => index);
    const count = this.#between(Math.min(least, this.#hosts), Math.min(most, this.#hosts));
    return Array.from({ length: count }, () => {
      const [host = 0] = hosts.splice(this.#random.integerBelow(hosts.length), 1);
      return host;
    });
  }
}
