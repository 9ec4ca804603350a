// Runs the property tests of long bodies with a seed, for a time: npm run fuzz -- --seed N --seconds S
import { spawnSync } from 'node:child_process';
import { parseArgs } from 'node:util';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: String(Date.now() % 1_000_000) },
    seconds: { type: 'string', default: '60' },
  },
});
console.log(`seed ${values.seed}, ${values.seconds} s`);
const { status } = spawnSync(
  process.execPath,
  [
    '--test',
    'packages/host-node/dist/__tests__/exchange.property.test.js',
    'packages/peer-protocol/dist/__tests__/peer.property.test.js',
  ],
  {
    env: { ...process.env, FUZZ_SEED: values.seed, FUZZ_SECONDS: values.seconds },
    stdio: 'inherit',
  },
);
process.exit(status ?? 1);
