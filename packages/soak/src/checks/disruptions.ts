import type { MeshBounds } from '../mesh/meshShape.js';
import { eventsOf, type SoakEvent } from '../record/SoakEvent.js';
import type { RunIndex } from './RunIndex.js';
import { overlaps, spansBetween, type Span } from './Spans.js';

/** Times in which parts of the deployment were disrupted. */
export interface Disruptions {
  /** Kills, starts after them, and pauses of a node; no planned work. */
  readonly unplanned: ReadonlyMap<string, readonly Span[]>;
  /** The same with the planned stops, and the starts that follow them. */
  readonly all: ReadonlyMap<string, readonly Span[]>;
  /** Faults of a backend server, by its id. */
  readonly backends: ReadonlyMap<string, readonly Span[]>;
  /** Times in which another listener held a port of a node. */
  readonly heldPorts: ReadonlyMap<string, readonly Span[]>;
  readonly store: readonly Span[];
  /** Times in which this program itself was late. */
  readonly rig: readonly Span[];
}

/** Finds the disruptions of a run. */
export function findDisruptions(index: RunIndex): Disruptions {
  const { events } = index;
  const unplanned = new Map<string, Span[]>();
  const all = new Map<string, Span[]>();
  const add = (spans: Map<string, Span[]>, name: string, span: Span) => {
    spans.set(name, [...(spans.get(name) ?? []), span]);
  };
  for (const [place, life] of index.lives.entries()) {
    const { end, node, signals, startedAt } = life;
    const former = index.lives.slice(0, place).findLast((each) => each.node === node);
    add(all, node, { from: startedAt, to: startedAt });
    if (former?.signals.some(({ signal }) => signal === 'SIGKILL') === true) {
      add(unplanned, node, { from: startedAt, to: startedAt });
    }
    for (const { afterGrace, at, signal } of signals) {
      const kill = signal === 'SIGKILL' && afterGrace !== true;
      if (signal === 'SIGTERM' || signal === 'SIGKILL') add(all, node, { from: at, to: at });
      if (kill) add(unplanned, node, { from: at, to: at });
    }
    const pauses = spansBetween(
      signals,
      ({ signal }) => signal === 'SIGSTOP',
      ({ signal }) => signal === 'SIGCONT',
    );
    for (const { from, to } of pauses) {
      const span = { from, to: Math.min(to, end?.at ?? to) };
      add(unplanned, node, span);
      add(all, node, span);
    }
  }
  return {
    unplanned,
    all,
    backends: findBackendFaults(events),
    heldPorts: findHeldPorts(index),
    store: spansBetween(
      eventsOf(events, 'store'),
      ({ state }) => state !== 'up',
      ({ state }) => state === 'up',
    ),
    rig: eventsOf(events, 'rig-stalled').map(({ at, milliseconds }) => ({
      from: at - milliseconds,
      to: at,
    })),
  };
}

/** Whether a node was in touch from `from` to `to`, as the rules define it. */
export function isInTouch(
  disruptions: Disruptions,
  bounds: MeshBounds,
  node: string,
  span: Span,
): boolean {
  const from = span.from - bounds.stabilityWindow;
  const own = disruptions.all.get(node) ?? [];
  return !overlaps(own, from, span.to) && !overlaps(disruptions.store, from, span.to);
}

function findBackendFaults(events: readonly SoakEvent[]): ReadonlyMap<string, readonly Span[]> {
  const changes = eventsOf(events, 'backend');
  const spans = new Map<string, Span[]>();
  for (const backend of new Set(changes.map((each) => each.backend))) {
    const own = changes.filter((each) => each.backend === backend);
    spans.set(
      backend,
      spansBetween(
        own,
        ({ state }) => state === 'failing' || state === 'breaking-off' || state === 'gone',
        ({ state }) => state === 'normal',
      ),
    );
  }
  return spans;
}

function findHeldPorts({ events, lives }: RunIndex): ReadonlyMap<string, readonly Span[]> {
  const spans = new Map<string, readonly Span[]>();
  for (const node of new Set(lives.map((life) => life.node))) {
    const own = events.filter((event) => 'node' in event && event.node === node);
    const held = spansBetween(
      own,
      ({ type }) => type === 'port-held',
      ({ type }) => type === 'port-freed',
    );
    spans.set(node, held);
  }
  return spans;
}
