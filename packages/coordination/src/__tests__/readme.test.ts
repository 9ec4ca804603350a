import assert from 'node:assert/strict';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { test } from 'node:test';
import { pathToFileURL } from 'node:url';

const packageDirectory = path.resolve(import.meta.dirname, '..', '..');

// Guards against a README example that no longer works.
test('the example in the README runs and gives the result it describes', async () => {
  const readme = await readFile(path.join(packageDirectory, 'README.md'), 'utf8');
  const code = /```js\n(.*?)```/s.exec(readme)?.[1];
  assert.ok(code !== undefined, 'the README has no JavaScript code block');
  // The file is inside the package, so that the import of the package by name resolves.
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
