import { eventsOf, type EventOf, type SoakEvent } from '../record/SoakEvent.js';

/** One process of a node, from its start to its end. */
export interface NodeLife {
  readonly node: string;
  readonly startedAt: number;
  readonly signals: EventOf<'signal'>[];
  readyAt?: number;
  end?: EventOf<'node-ended'>;
}

/** Everything about one request. */
export interface RequestTrace {
  readonly sent: EventOf<'sent'>;
  readonly arrivals: EventOf<'arrived'>[];
  readonly runEnds: EventOf<'run-ended'>[];
  ended?: EventOf<'ended'>;
}

/** The events of a run, by node and by request. */
export interface RunIndex {
  readonly events: readonly SoakEvent[];
  readonly lives: readonly NodeLife[];
  readonly requests: ReadonlyMap<string, RequestTrace>;
  /** When the last event happened. */
  readonly endedAt: number;
}

/** Arranges the events of a run for the checks. */
export function indexRun(events: readonly SoakEvent[]): RunIndex {
  return {
    events,
    lives: indexLives(events),
    requests: indexRequests(events),
    endedAt: events.at(-1)?.at ?? 0,
  };
}

/** Gives the process of a node that ran at a time. */
export function lifeAt({ lives }: RunIndex, node: string, at: number): NodeLife | undefined {
  return lives.findLast((life) => life.node === node && life.startedAt <= at);
}

function indexLives(events: readonly SoakEvent[]): NodeLife[] {
  const lives: NodeLife[] = [];
  const current = new Map<string, NodeLife>();
  for (const event of events) {
    if (event.type === 'node-started') {
      const life: NodeLife = { node: event.node, startedAt: event.at, signals: [] };
      lives.push(life);
      current.set(event.node, life);
    } else if (event.type === 'node-ready') {
      const life = current.get(event.node);
      if (life !== undefined) life.readyAt = event.at;
    } else if (event.type === 'signal') {
      current.get(event.node)?.signals.push(event);
    } else if (event.type === 'node-ended') {
      const life = current.get(event.node);
      if (life !== undefined) life.end = event;
    }
  }
  return lives;
}

function indexRequests(events: readonly SoakEvent[]): ReadonlyMap<string, RequestTrace> {
  const requests = new Map<string, RequestTrace>();
  for (const sent of eventsOf(events, 'sent')) {
    requests.set(sent.id, { sent, arrivals: [], runEnds: [] });
  }
  for (const event of events) {
    if (event.type === 'arrived') requests.get(event.id)?.arrivals.push(event);
    else if (event.type === 'run-ended') requests.get(event.id)?.runEnds.push(event);
    else if (event.type === 'ended') {
      const request = requests.get(event.id);
      if (request !== undefined) request.ended = event;
    }
  }
  return requests;
}
