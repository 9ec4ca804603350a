// Bundles the node for a platform host into one file, so that it starts without a search for modules.
// Takes the path of the file.
import { build } from 'esbuild';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
const sourceOf = (name) => path.join(root, 'packages/host-node/dist', name);

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

const main = await build({ ...options, entryPoints: [sourceOf('main.js')], write: false });

/**
 * Takes `main.js` and all that it imports as one CommonJS module, which runs when it is imported. Else
 * modules that both files import would be loaded before the signals are handled.
 */
const loadMainLate = {
  name: 'load-main-late',
  setup: ({ onLoad, onResolve }) => {
    onResolve({ filter: /^\.\/main\.js$/ }, ({ path: name }) => ({
      path: name,
      namespace: 'late',
    }));
    onLoad({ filter: /./, namespace: 'late' }, () => ({ contents: main.outputFiles[0].text }));
  },
};

await build({
  ...options,
  entryPoints: [sourceOf('bin.js')],
  outfile: path.resolve(process.argv[2] ?? path.join(root, 'target/hickorybridge.cjs')),
  plugins: [loadMainLate],
  // An import() would load the module loader of Node.js for ES modules first.
  supported: { 'dynamic-import': false },
});
