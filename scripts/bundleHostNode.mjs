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
  // A native module, which cbor-x loads when it is there.
  external: ['cbor-extract'],
});
