import assert from 'node:assert/strict';
import { spawn, spawnSync } from 'node:child_process';
import { cpSync, existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { describe, it } from 'node:test';
import { commands } from '../index.js';
import { parseArguments } from '../parseArguments.js';

const root = path.resolve(import.meta.dirname, '../../../..');
const program = path.join(root, 'packages/command-line/dist/bin.js');

/** Pages for users; the design pages show no commands to try. */
const pages = ['README.md', 'CONTRIBUTING.md', 'docs']
  .flatMap((name) => (name.endsWith('.md') ? [name] : listPages(name)))
  .filter((name) => !name.startsWith('docs/design'));

function listPages(directory: string): string[] {
  return readdirSync(path.join(root, directory), { recursive: true })
    .map((name) => path.join(directory, String(name)))
    .filter((name) => name.endsWith('.md'));
}

function read(page: string): string {
  return readFileSync(path.join(root, page), 'utf8');
}

/** Lists the calls of the command line that a page shows, in order, as words. */
function listCalls(page: string): string[][] {
  const blocks = [...read(page).matchAll(/^```sh\n(.*?)^```/gms)].map(([, block]) => block ?? '');
  return blocks
    .flatMap((block) => block.split('\n'))
    .filter((line) => line.startsWith('hickorybridge '))
    .map((line) => line.split(' ').slice(1));
}

describe('documentation', () => {
  it('guards against reference pages that differ from the code', () => {
    const script = path.join(root, 'scripts/generateReference.mjs');
    const { status, stderr } = spawnSync(process.execPath, [script, '--check'], {
      encoding: 'utf8',
    });
    assert.equal(status, 0, stderr);
  });

  for (const page of pages) {
    it(`guards against wrong links and commands in ${page}`, () => {
      for (const [, target = ''] of read(page).matchAll(/\]\((?!https?:)([^)#]+)/g)) {
        assert.ok(existsSync(path.resolve(root, path.dirname(page), target)), target);
      }
      for (const words of listCalls(page)) {
        const command = commands.find((candidate) => candidate.name === words[0]);
        assert.ok(command !== undefined, words.join(' '));
        parseArguments(command, words);
      }
    });
  }

  it('guards against packages and dependencies that the map leaves out', () => {
    const map = read('CONTRIBUTING.md');
    for (const name of readdirSync(path.join(root, 'packages'))) {
      const file = path.join('packages', name, 'package.json');
      if (!existsSync(path.join(root, file))) continue;
      assert.ok(map.includes(`| \`${name}\``), name);
      const { dependencies } = JSON.parse(read(file)) as { dependencies: Record<string, string> };
      for (const dependency of Object.keys(dependencies)) {
        const shown = dependency
          .replace('@hickorybridge/', '')
          .replace(/^(@opentelemetry)\/.*/, '$1/*');
        assert.ok(map.includes(`\`${shown}\``), `${dependency} of ${name}`);
      }
    }
  });

  it('guards against first steps that do not work', async (t) => {
    const directory = mkdtempSync(path.join(tmpdir(), 'hickorybridge-'));
    const storeProgram = path.join(root, 'packages/stand-ins/dist/storeBin.js');
    const store = spawn(process.execPath, [storeProgram]);
    t.after(() => {
      store.kill();
      rmSync(directory, { recursive: true });
    });
    const line = await new Promise<string>((resolve) => {
      store.stdout.once('data', (chunk: Buffer) => resolve(chunk.toString()));
    });
    const { url } = JSON.parse(line) as { url: string };
    cpSync(path.join(root, 'examples'), path.join(directory, 'examples'), { recursive: true });
    // The other commands need a running node.
    const calls = listCalls('docs/start.md').filter(([name = '']) =>
      ['init', 'validate', 'diff', 'apply'].includes(name),
    );
    assert.ok(calls.length >= 5);
    for (const words of calls) {
      const { status, stderr } = spawnSync(process.execPath, [program, ...words], {
        cwd: directory,
        encoding: 'utf8',
        env: { ...process.env, HICKORYBRIDGE_STORE: url },
      });
      assert.equal(status, 0, `${words.join(' ')}: ${stderr}`);
    }
  });
});
