import assert from 'node:assert/strict';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { test } from 'node:test';
import { pathToFileURL } from 'node:url';

const packageDirectory = path.resolve(import.meta.dirname, '..', '..');

// Guards against a README whose example no longer works.
test('the example of the README runs and shows what it says', async () => {
  const readme = await readFile(path.join(packageDirectory, 'README.md'), 'utf8');
  const code = /```js\n(.*?)```/s.exec(readme)?.[1];
  assert.ok(code !== undefined, 'the README has no block of JavaScript');
  // Inside the package, so that its own name resolves.
  const directory = await mkdtemp(path.join(packageDirectory, 'dist', 'readme-'));
  try {
    const file = path.join(directory, 'example.mjs');
    await writeFile(file, code);
    const example = (await import(pathToFileURL(file).href)) as Record<string, unknown>;
    assert.deepEqual(example.outcome, { type: 'fenced', token: 2 });
    assert.match(String(example.standing), /report of second/);
  } finally {
    await rm(directory, { recursive: true });
  }
});
