import { z } from 'zod';

const time = z.number().min(0);

/** A request of a trace. `time` is in milliseconds from the start, `size` is the answer's bytes. */
const requestEntry = z.strictObject({
  time,
  region: z.string(),
  service: z.string(),
  kind: z.string(),
  key: z.string().optional(),
  size: z.int().min(0),
});

const targeted = { time, target: z.string() };
const part = z.enum(['node', 'backend-server', 'host']);

const eventEntry = z.discriminatedUnion('event', [
  z.strictObject({ ...targeted, event: z.literal('straggler'), factor: z.number() }),
  z.strictObject({ ...targeted, event: z.literal('noisy-neighbour'), slots: z.int() }),
  z.strictObject({ ...targeted, event: z.literal('shed'), share: z.number() }),
  z.strictObject({ ...targeted, event: z.literal('cold-start'), rampMilliseconds: z.int() }),
  z.strictObject({
    ...targeted,
    event: z.literal('answer-fault'),
    fault: z.enum(['late', 'half', 'never', 'doubled']),
    count: z.int(),
  }),
  z.strictObject({ ...targeted, event: z.literal('drain') }),
  z.strictObject({ ...targeted, event: z.literal('return') }),
  z.strictObject({ ...targeted, event: z.literal('kill'), part }),
  z.strictObject({ ...targeted, event: z.literal('restart') }),
  z.strictObject({ ...targeted, event: z.literal('freeze'), part }),
  z.strictObject({ ...targeted, event: z.literal('thaw'), part }),
  z.strictObject({ time, event: z.literal('cut'), direction: z.enum(['both', 'forth', 'back']) }),
  z.strictObject({ time, event: z.literal('heal') }),
  z.strictObject({
    time,
    event: z.literal('store-outage'),
    down: z.boolean(),
    slowMilliseconds: z.int().optional(),
  }),
  z.strictObject({ time, event: z.literal('lost-answer'), count: z.int() }),
  z.strictObject({ time, event: z.literal('apply') }),
  z.strictObject({ time, event: z.literal('operator-race') }),
  z.strictObject({ time, event: z.literal('rolling-restart'), targets: z.array(z.string()) }),
]);

/** A line of a trace. */
export const traceEntry = z.union([requestEntry, eventEntry]);

export type TraceRequest = z.infer<typeof requestEntry>;

export type TraceEvent = z.infer<typeof eventEntry>;

export type TraceEntry = TraceRequest | TraceEvent;

/** Tells whether a line of a trace is an event. */
export function isEvent(entry: TraceEntry): entry is TraceEvent {
  return 'event' in entry;
}
