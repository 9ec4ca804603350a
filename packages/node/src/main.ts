import { formatProblem, parseNodeSettings } from '@hickorybridge/configuration';
import { createLogger } from '@hickorybridge/logger';
import { HttpPlatformStore } from '@hickorybridge/store';
import { createTracer } from '@hickorybridge/telemetry';
import { RandomSource, systemClock, type ProcessSignals } from '@hickorybridge/utils';
import { randomInt } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import sade from 'sade';

import { createNode } from './createNode.js';

const ExitCode = { done: 0, failed: 1, usage: 2, refused: 3 } as const;
const largestSeed = 0x7fff_ffff;

/** Runs the program `hickorybridged`. */
export function main(signals: ProcessSignals): void {
  ignoreOutputErrors();
  sade('hickorybridged', true)
    .version('0.1.0')
    .describe('Runs a node of hickorybridge beside a backend server.')
    .option('--settings', 'Settings of the node (TOML)')
    .example('--settings node.toml')
    .action(async (options: { settings?: string }) => {
      if (options.settings === undefined) exitWith(ExitCode.usage, '--settings FILE is needed');
      else await run(options.settings, signals);
    })
    .parse(process.argv);
}

async function run(file: string, signals: ProcessSignals): Promise<void> {
  const text = await readFile(file, 'utf8').catch((error: Error) => error);
  if (text instanceof Error) {
    exitWith(ExitCode.failed, `cannot read the settings: ${text.message}`);
    return;
  }
  const parsed = parseNodeSettings(text, file);
  if (!parsed.ok) {
    exitWith(ExitCode.refused, parsed.error.map(formatProblem).join('\n'));
    return;
  }
  const settings = parsed.value;
  const { log, node: own, store } = settings;
  const logger = createLogger({ ...log, fields: { node: own.id } });
  const platformStore = new HttpPlatformStore(store);
  const random = new RandomSource(own.seed ?? randomInt(largestSeed));
  const tracer = await createTracer({ ...settings.traces, ...own, nodeId: own.id });
  const node = createNode({
    settings,
    store: platformStore,
    clock: systemClock,
    random,
    logger,
    tracer,
  });
  signals.connect({
    reload: () =>
      logger.warn('settings-not-reloaded', 'the settings are read at the start only', { file }),
    stop: async () => {
      // A second signal ends the process at once.
      process.once('SIGTERM', () => process.exit(ExitCode.failed));
      process.once('SIGINT', () => process.exit(ExitCode.failed));
      await node.stop();
      await tracer[Symbol.asyncDispose]();
      await platformStore[Symbol.asyncDispose]();
    },
  });
  const started = await node.start();
  if (node.stopping) return;
  if (!started.ok) {
    exitWith(ExitCode.failed, `cannot start node "${own.id}": ${started.error.detail}`);
    return;
  }
  logger.info('node-started', `node "${own.id}" is listening for callers`, {
    address: `${settings.listeners.callers.host}:${settings.listeners.callers.port}`,
  });
}

/** A reader of the log that ends, or a full disk, loses lines and does not end the node. */
function ignoreOutputErrors(): void {
  for (const stream of [process.stdout, process.stderr]) stream.on('error', () => {});
}

function exitWith(code: number, message: string): void {
  process.stderr.write(`${message}\n`);
  process.exit(code);
}
