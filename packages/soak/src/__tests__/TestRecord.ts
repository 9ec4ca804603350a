import type { EventFields, SoakEvent, SoakOccurrence } from '../record/SoakEvent.js';

/** Events of a run that a test writes down, with usual values for what it does not name. */
export class TestRecord {
  readonly events: SoakEvent[] = [];

  add(at: number, occurrence: SoakOccurrence): this {
    this.events.push({ ...occurrence, at });
    return this;
  }

  /** A node that is started at 0 and ready at 500. */
  startNode(node: string): this {
    return this.add(0, { type: 'node-started', node, processId: 1 }).add(500, {
      type: 'node-ready',
      node,
    });
  }

  send(at: number, id: string, fields: Partial<EventFields['sent']> = {}): this {
    return this.add(at, {
      type: 'sent',
      id,
      node: 'a',
      route: 'set-status',
      service: 'fleet-view',
      idempotent: true,
      maxAttempts: 3,
      deadlineMilliseconds: 2500,
      timeoutMilliseconds: 1200,
      ...fields,
    });
  }

  arrive(at: number, id: string, fields: Partial<EventFields['arrived']> = {}): this {
    return this.add(at, {
      type: 'arrived',
      id,
      backend: 'i-1',
      node: 'b',
      service: 'fleet-view',
      accepted: true,
      deadlineMilliseconds: 1000,
      ...fields,
    });
  }

  /** The connection of a request, sent whole at `sentAt`, ends without an answer. */
  close(at: number, id: string, sentAt: number): this {
    return this.add(at, { type: 'ended', id, node: 'a', end: 'closed', kept: true, sentAt });
  }

  signal(at: number, signal: EventFields['signal']['signal'], node = 'a'): this {
    return this.add(at, { type: 'signal', node, signal });
  }

  endNode(at: number, code: number | null, signal: string | null = null): this {
    return this.add(at, { type: 'node-ended', node: 'a', code, signal });
  }
}
