// Bundles the node for a platform host, so that it starts without a search for modules: a small file
// that handles the signals, and one with all other modules, which the first loads. Takes the path of
// the first; the second stands beside it.
import { build } from 'esbuild';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
const outputFile = path.resolve(process.argv[2] ?? path.join(root, 'target/hickorybridge.cjs'));
const mainFile = outputFile.replace(/(\.cjs)?$/, '-main.cjs');

const options = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  // A third less to parse at each start; names stay, because stack traces are read in logs.
  minifyWhitespace: true,
  minifySyntax: true,
  // The native module of cbor-x adds 20 ms of processor time to each start, because it looks for the
  // kind of the C library, and frames are too small to gain from it.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  external: ['cbor-extract'],
};

/** Leaves `main.js` out of the bundle of its importer and names the bundle that replaces it. */
const separateMain = {
  name: 'separate-main',
  setup: ({ onResolve }) =>
    onResolve({ filter: /^\.\/main\.js$/ }, () => ({
      path: `./${path.basename(mainFile)}`,
      external: true,
    })),
};

await build({
  ...options,
  entryPoints: [path.join(root, 'packages/host-node/dist/main.js')],
  outfile: mainFile,
});
await build({
  ...options,
  entryPoints: [path.join(root, 'packages/host-node/dist/bin.js')],
  outfile: outputFile,
  plugins: [separateMain],
  // An import() would load the module loader of Node.js for ES modules first.
  supported: { 'dynamic-import': false },
});
