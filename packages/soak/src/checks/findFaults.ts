import type { MeshBounds } from '../mesh/meshShape.js';
import { Rule, type Breach, type CheckResult } from './Breach.js';
import type { Disruptions } from './disruptions.js';
import type { NodeLife, RunIndex } from './RunIndex.js';
import { overlaps } from './Spans.js';

/** Rule FAULT: processes that end by themselves, or that are not ready within the bound. */
export function findFaults(
  index: RunIndex,
  disruptions: Disruptions,
  bounds: MeshBounds,
): CheckResult {
  const breaches: Breach[] = [];
  for (const life of index.lives) {
    const cause = describeOwnEnd(life) ?? describeLateStart(index, life, disruptions, bounds);
    const at = life.end?.at ?? life.startedAt + bounds.ready;
    if (cause !== undefined) breaches.push({ rule: Rule.fault, at, node: life.node, cause });
  }
  const killed = index.lives.filter(({ signals }) =>
    signals.some(({ afterGrace }) => afterGrace === true),
  );
  return {
    breaches,
    counts: {
      starts: index.lives.length,
      ends: index.lives.filter(({ end }) => end !== undefined).length,
      killedAfterGrace: killed.length,
    },
  };
}

function describeOwnEnd({ end, signals, startedAt }: NodeLife): string | undefined {
  if (end === undefined) return undefined;
  if (signals.some(({ signal }) => signal === 'SIGKILL')) return undefined;
  const asked = signals.some(({ signal }) => signal === 'SIGTERM');
  if (asked && end.code === 0) return undefined;
  const how = end.signal === null ? `with code ${end.code}` : `by ${end.signal}`;
  const age = Math.round(end.at - startedAt);
  return asked
    ? `the process ended ${how} instead of 0 after SIGTERM, ${age} ms after its start`
    : `the process ended by itself ${how}, ${age} ms after its start`;
}

/** A process has to be ready within the bound, counted without the times that hold it up. */
function describeLateStart(
  index: RunIndex,
  life: NodeLife,
  disruptions: Disruptions,
  bounds: MeshBounds,
): string | undefined {
  const held = disruptions.heldPorts.get(life.node) ?? [];
  const last = life.readyAt ?? life.end?.at ?? index.endedAt;
  const stopped = life.signals.find(({ signal }) => signal === 'SIGTERM')?.at ?? Infinity;
  const waited = Math.min(last, stopped) - life.startedAt;
  const spans = [...held, ...disruptions.store, ...(disruptions.unplanned.get(life.node) ?? [])];
  const excused = spans
    .map(({ from, to }) => Math.min(to, last) - Math.max(from, life.startedAt))
    .reduce((sum, length) => sum + Math.max(0, length), 0);
  const stalled = overlaps(disruptions.rig, life.startedAt, last);
  if (stalled || waited - excused <= bounds.ready) return undefined;
  return `the process was not ready ${Math.round(waited)} ms after its start`;
}
