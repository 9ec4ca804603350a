import { createLogger } from '@hickorybridge/logger';
import { defaultSettingsPath, settingsVariable } from '@hickorybridge/platform';
import { hashString, RandomSource, systemClock, type ProcessSignals } from '@hickorybridge/utils';
import { setImmediate } from 'node:timers/promises';

import { loadSettingsAtStart, settingsRetryMilliseconds } from './control/loadSettingsAtStart.js';
import { SettingsFile } from './control/SettingsFile.js';
import { createHostNode } from './createHostNode.js';
import { handleProcessFaults } from './handleProcessFaults.js';
import { StandardOutput } from './StandardOutput.js';

const invalidSettingsExitCode = 2;
const startFailedExitCode = 1;

// Bounds the log of one node to about 100 KB a second when every request fails.
const logRateLimit = { burst: 200, linesPerSecond: 50 };

/** Runs the node of this host until a signal stops it. */
export async function main(signals: ProcessSignals): Promise<void> {
  const output = new StandardOutput();
  const path = process.env[settingsVariable] ?? defaultSettingsPath;
  const settings = await loadSettingsAtStart({
    path,
    clock: systemClock,
    onRetry: (detail) =>
      process.stderr.write(`${detail}; reading it again for ${settingsRetryMilliseconds} ms\n`),
  });
  if (!settings.ok) {
    process.stderr.write(`${settings.error.detail}\n`);
    process.exitCode = invalidSettingsExitCode;
    return;
  }
  // Lets the event loop deliver signals that came meanwhile, so that a stop finds nothing open.
  await setImmediate();
  const { nodeId } = settings.value;
  const logger = createLogger({
    level: 'info',
    format: 'json',
    fields: { node: nodeId },
    write: (line) => output.write(line),
    rate: logRateLimit,
  });
  const file = new SettingsFile(path, settings.value, logger);
  const seed = hashString(`${nodeId} ${Date.now()}`);
  const node = createHostNode({
    settings: file,
    clock: systemClock,
    random: new RandomSource(seed),
    logger,
  });
  handleProcessFaults({ process, node, exit: (code) => process.exit(code), logger });
  signals.connect({ reload: () => file.reload(), stop: () => node.stop() });
  const started = await node.start();
  if (started.ok || node.stopping) return;
  const { detail } = started.error;
  logger.error('start-failed', 'the node cannot open its listeners', { detail });
  process.exit(startFailedExitCode);
}
