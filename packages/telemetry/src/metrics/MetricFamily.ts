import type { MetricDefinition } from './MetricDefinition.js';

type Level<Instrument> = Map<string, Map<string, Map<string, Instrument>>>;

/** One instrument and the values of its labels. */
export interface LabelledInstrument<Instrument> {
  readonly labelValues: readonly string[];
  readonly instrument: Instrument;
}

/**
 * The instruments of one metric by their label values, at most three. A lookup makes no objects,
 * so it can be done for each request. Label values must come from the deployment or from constant
 * objects, never from a caller, because instruments are never removed.
 */
export class MetricFamily<Instrument> {
  readonly definition: MetricDefinition;

  readonly #make: () => Instrument;

  readonly #instruments: Level<Instrument> = new Map();

  constructor(definition: MetricDefinition, make: () => Instrument) {
    this.definition = definition;
    this.#make = make;
  }

  /** Gives the instrument for these label values, in the order of the definition. */
  at(first = '', second = '', third = ''): Instrument {
    const found = this.#instruments.get(first)?.get(second)?.get(third);
    return found ?? this.#add(first, second, third);
  }

  /** Lists all instruments. */
  list(): LabelledInstrument<Instrument>[] {
    const list: LabelledInstrument<Instrument>[] = [];
    for (const [first, seconds] of this.#instruments) {
      for (const [second, thirds] of seconds) {
        for (const [third, instrument] of thirds) {
          const labelValues = [first, second, third].slice(0, this.definition.labels.length);
          list.push({ labelValues, instrument });
        }
      }
    }
    return list;
  }

  #add(first: string, second: string, third: string): Instrument {
    const seconds = this.#instruments.get(first) ?? new Map<string, Map<string, Instrument>>();
    this.#instruments.set(first, seconds);
    const thirds = seconds.get(second) ?? new Map<string, Instrument>();
    seconds.set(second, thirds);
    const instrument = this.#make();
    thirds.set(third, instrument);
    return instrument;
  }
}
