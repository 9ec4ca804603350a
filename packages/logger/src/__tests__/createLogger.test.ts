import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLogger } from '../index.js';

describe('logger', () => {
  it('guards against a repeated event that floods the log, drops other events or loses the number dropped', () => {
    const lines: Record<string, unknown>[] = [];
    let now = 0;
    const logger = createLogger({
      level: 'info',
      format: 'json',
      fields: { node: 'a' },
      write: (line) => lines.push(JSON.parse(line) as Record<string, unknown>),
      now: () => now,
    });
    for (let count = 0; count < 25; count += 1) logger.warn('peer-lost', 'lost', { count });
    logger.error('store-lost', 'lost');
    now = 1_000;
    logger.warn('peer-lost', 'lost');
    logger.debug('detail', 'not written at level info');
    assert.equal(lines.length, 12);
    assert.equal(lines[10]?.event, 'store-lost');
    assert.equal(lines[11]?.suppressed, 15);
    assert.equal(lines[0]?.node, 'a');
  });

  it('guards against an unescaped line break with which a message forges a second log line', () => {
    const lines: string[] = [];
    const write = (line: string) => lines.push(line);
    createLogger({ level: 'info', format: 'text', write }).info('started', 'one\ntwo', {
      a: 'b c',
    });
    assert.match(lines[0] ?? '', / info {2}started: one\\ntwo a="b c"$/);
  });
});
