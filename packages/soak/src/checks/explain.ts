import { readFileSync } from 'node:fs';
import path from 'node:path';

import { readEvents } from '../record/EventRecord.js';
import type { SoakEvent } from '../record/SoakEvent.js';
import { formatBreach, Rule, type Breach } from './Breach.js';
import { checkRun } from './checkRun.js';
import { findDisruptions } from './disruptions.js';
import { indexRun, lifeAt, type RunIndex } from './RunIndex.js';
import { overlaps } from './Spans.js';

const beforeMilliseconds = 5000;
const afterMilliseconds = 200;
const eventLimit = 14;
const logLineLimit = 6;
const invalidSettingsCode = 2;

/** Files of a kept run. */
export interface KeptRun {
  readonly directory: string;
  readonly eventsFile: string;
  /** Wall-clock time at the start of the run. */
  readonly startedAt: number;
}

/** Explains the breaches of a kept run: the likely cause of each, and the events near it. */
export function explain({ directory, eventsFile, startedAt }: KeptRun): string[] {
  const events = readEvents(path.join(directory, eventsFile));
  const index = indexRun(events);
  return checkRun(events).breaches.flatMap((breach) => [
    formatBreach(breach),
    `  likely cause: ${nameCause(breach, index)}`,
    ...findNearEvents(breach, events).map((event) => `  ${JSON.stringify(event)}`),
    ...readLogLines(directory, breach, startedAt).map((line) => `  log: ${line}`),
  ]);
}

/** Names the likely cause of a breach from what happened near it. */
export function nameCause(breach: Breach, index: RunIndex): string {
  const node = breach.node ?? '';
  const near = index.events.filter(
    (event) => event.at >= breach.at - beforeMilliseconds && event.at <= breach.at,
  );
  if (breach.rule === Rule.fault) return nameCauseOfEnd(breach, index, near);
  const changes = near.filter((event) => 'node' in event && event.node === node);
  const signal = changes.findLast((event) => event.type === 'signal');
  if (signal?.type === 'signal') {
    return `${signal.signal} to this node ${Math.round(breach.at - signal.at)} ms earlier`;
  }
  const ended = near.findLast((event) => event.type === 'node-ended');
  if (ended?.type === 'node-ended') return `the process of ${ended.node} ended shortly before`;
  const backend = near.findLast((event) => event.type === 'backend');
  if (backend?.type === 'backend') return `backend server ${backend.backend} ${backend.state}`;
  const load = index.events.findLast((event) => event.type === 'load' && event.at <= breach.at);
  if (load?.type === 'load' && load.factor > 1) return `callers send ${load.factor} times as much`;
  return 'nothing was done to the deployment near it';
}

function nameCauseOfEnd(breach: Breach, index: RunIndex, near: readonly SoakEvent[]): string {
  const node = breach.node ?? '';
  const life = lifeAt(index, node, breach.at);
  const own = near.filter((event) => 'node' in event && event.node === node);
  const early = life?.readyAt === undefined ? 'before it was ready' : 'after it was ready';
  const signal = life?.signals.findLast((each) => each.signal === life.end?.signal);
  if (signal !== undefined) {
    const age = Math.round(signal.at - (life?.startedAt ?? 0));
    return `${signal.signal} ${age} ms after the start, ${early}: no handler stood`;
  }
  const held = findDisruptions(index).heldPorts.get(node) ?? [];
  if (overlaps(held, life?.startedAt ?? breach.at, breach.at)) {
    const port = own.findLast((event) => event.type === 'port-held');
    return `port ${port?.type === 'port-held' ? port.port : ''} was held by another listener`;
  }
  const replaced = own.findLast((event) => event.type === 'settings-replaced');
  if (life?.end?.code === invalidSettingsCode && replaced?.type === 'settings-replaced') {
    return 'the settings file was read while it was replaced in place';
  }
  const store = near.findLast((event) => event.type === 'store');
  return store?.type === 'store' ? `the store was ${store.state}` : 'see the log of the node';
}

/** Gives what happened to the node and the request, and to the deployment, near a breach. */
function findNearEvents(breach: Breach, events: readonly SoakEvent[]): SoakEvent[] {
  const { at, node, requestId } = breach;
  return events
    .filter((event) => {
      if ('id' in event) return event.id === requestId;
      if (event.at < at - beforeMilliseconds || event.at > at + afterMilliseconds) return false;
      return !('node' in event) || event.node === node;
    })
    .slice(-eventLimit);
}

/** Gives lines of the node's log near a breach: those of the request, errors, and plain text. */
function readLogLines(directory: string, breach: Breach, startedAt: number): string[] {
  const { at, node, requestId } = breach;
  if (node === undefined) return [];
  let time = 0;
  const lines = readLog(path.join(directory, `${node}.log`)).filter((line) => {
    const [, written] = /^\{"time":"([^"]+)"/.exec(line) ?? [];
    // Plain text bears no time and belongs to the line before it.
    if (written !== undefined) time = Date.parse(written) - startedAt;
    if (time < at - beforeMilliseconds || time > at + afterMilliseconds) return false;
    if (written === undefined || line.includes('"level":"error"')) return true;
    return requestId !== undefined && line.includes(`"${requestId}"`);
  });
  return lines.slice(-logLineLimit);
}

function readLog(file: string): string[] {
  try {
    return readFileSync(file, 'utf8')
      .split('\n')
      .filter((line) => line !== '');
  } catch {
    // The log may be removed with the rest of a clean run.
    return [];
  }
}
