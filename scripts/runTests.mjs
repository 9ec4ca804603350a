// Runs the compiled tests of all packages. Prints the replays that KNOWN-RED.txt lists as failing.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
// A test that hangs fails with its name instead of holding up the whole run.
const testTimeoutMilliseconds = 120_000;
const knownRedFile = path.join(root, 'KNOWN-RED.txt');

/** Lists the compiled test files of all packages, sorted, as paths from the root. */
function listTestFiles() {
  const packages = readdirSync(path.join(root, 'packages'), { withFileTypes: true });
  return packages
    .filter((entry) => entry.isDirectory())
    .map((entry) => path.join('packages', entry.name))
    .concat('platform')
    .map((directory) => path.join(directory, 'dist', '__tests__'))
    .filter((directory) => existsSync(path.join(root, directory)))
    .flatMap((directory) =>
      readdirSync(path.join(root, directory))
        .filter((file) => file.endsWith('.test.js') && existsSync(sourceOf(directory, file)))
        .map((file) => path.join(directory, file)),
    )
    .sort();
}

/** A compiled test whose source was removed is left over from an earlier build. */
function sourceOf(directory, file) {
  const sourceDirectory = directory.replace(
    `${path.sep}dist${path.sep}`,
    `${path.sep}src${path.sep}`,
  );
  return path.join(root, sourceDirectory, file.replace(/\.js$/, '.ts'));
}

/** Reads the names of replays known to fail: the text before the first ` | ` of each entry. */
function readKnownRed() {
  if (!existsSync(knownRedFile)) return [];
  return readFileSync(knownRedFile, 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'))
    .map((line) => line.split(' | ')[0].trim());
}

const filters = process.argv.slice(2);
const files = listTestFiles().filter(
  (file) => filters.length === 0 || filters.some((filter) => file.includes(filter)),
);
if (files.length === 0) {
  console.error(`no test file matches: ${filters.join(', ')}`);
  process.exit(1);
}
const knownRed = readKnownRed();
for (const name of knownRed) console.log(`known red, no part of this run: ${name}`);

/** Names of single tests known to fail, from entries that read `test "NAME"`. */
const redTests = knownRed.map((name) => /^test "(.+)"$/.exec(name)?.[1]).filter(Boolean);

/** Runs test files; gives the exit code. */
function run(selected, concurrency) {
  if (selected.length === 0) return 0;
  const options = [
    '--test',
    `--test-concurrency=${concurrency}`,
    `--test-timeout=${testTimeoutMilliseconds}`,
    '--test-reporter=spec',
  ];
  const { status } = spawnSync(process.execPath, [...options, ...selected], {
    cwd: root,
    stdio: 'inherit',
    // Node.js 20 cannot leave out a test by its name, so these tests skip themselves.
    env: { ...process.env, KNOWN_RED_TESTS: JSON.stringify(redTests) },
  });
  return status ?? 1;
}

// These start crowds of clients, which other tests would disturb and be disturbed by.
const isAlone = (file) => file.endsWith('.alone.test.js');
const statuses = [
  run(
    files.filter((file) => !isAlone(file)),
    4,
  ),
  run(files.filter(isAlone), 1),
];
process.exit(statuses.find((status) => status !== 0) ?? 0);
