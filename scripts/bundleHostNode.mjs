// Bundles the node for a platform host into one file, so that it starts without a search for modules.
import { build } from 'esbuild';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');

await build({
  entryPoints: [path.join(root, 'packages/host-node/dist/bin.js')],
  outfile: path.join(root, 'target/hickorybridge.cjs'),
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
});
