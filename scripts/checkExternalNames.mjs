// Checks that each name in docs/reference/external-names.txt, the names that leave the process,
// still stands in every package whose sources had it at an earlier revision.
//   node scripts/checkExternalNames.mjs REVISION
// Prints the names that are gone from the code of a package and exits with 1 when there is one. A
// name that only a local variable had is printed as well: each line needs a look at the change.
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
const maxOutputBytes = 256 * 1024 * 1024;

function git(...words) {
  return execFileSync('git', words, { cwd: root, encoding: 'utf8', maxBuffer: maxOutputBytes });
}

/** Gives the package of a source file, or the folder at the root that it stands in. */
function packageOf(file) {
  const [first, second] = file.split('/');
  return first === 'packages' ? second : first;
}

/** Removes comments. Two slashes after other text, as in a URL, begin no comment. */
function withoutComments(text) {
  return text.replaceAll(/\/\*.*?\*\//gs, '').replaceAll(/(^|\s)\/\/.*$/gm, '');
}

/** Joins the code of each package, without tests. */
function readSources(files, read) {
  const sources = new Map();
  for (const file of files) {
    if (!/\.(ts|mjs)$/.test(file) || file.includes('__tests__')) continue;
    const name = packageOf(file);
    sources.set(name, `${sources.get(name) ?? ''}\n${withoutComments(read(file))}`);
  }
  return sources;
}

function listNames() {
  const file = path.join(root, 'docs/reference/external-names.txt');
  return readFileSync(file, 'utf8').split('\n').filter(Boolean);
}

function contains(text, name) {
  const escaped = name.replace(/[.*+?^${}()|[\]\\/-]/g, '\\$&');
  return new RegExp(`(?<![\\w$])${escaped}(?![\\w$])`).test(text);
}

const [revision] = process.argv.slice(2);
if (revision === undefined) {
  console.error('usage: node scripts/checkExternalNames.mjs REVISION');
  process.exit(2);
}
const folders = ['packages', 'platform', 'scripts'];
const earlierFiles = git('ls-tree', '-r', '--name-only', revision, ...folders)
  .trim()
  .split('\n');
const earlier = readSources(earlierFiles, (file) => git('show', `${revision}:${file}`));
const presentFiles = git('ls-files', ...folders)
  .trim()
  .split('\n');
const present = readSources(presentFiles, (file) => readFileSync(path.join(root, file), 'utf8'));

const names = listNames();
let places = 0;
let missing = 0;
for (const [name, text] of earlier) {
  for (const external of names.filter((each) => contains(text, each))) {
    places += 1;
    if (!contains(present.get(name) ?? '', external)) {
      missing += 1;
      console.log(`${external}: gone from ${name}`);
    }
  }
}
console.log(`${names.length} names, ${places} in packages at ${revision}, ${missing} of them gone`);
process.exit(missing > 0 ? 1 : 0);
