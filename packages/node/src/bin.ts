#!/usr/bin/env node
import { formatProblem, parseNodeSettings } from '@hickorybridge/configuration';
import { createLogger } from '@hickorybridge/logger';
import { HttpPlatformStore } from '@hickorybridge/store';
import { createTracer } from '@hickorybridge/telemetry';
import { RandomSource, systemClock } from '@hickorybridge/utils';
import { randomInt } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import sade from 'sade';

import { createNode } from './createNode.js';

const ExitCode = { done: 0, failed: 1, usage: 2, refused: 3 } as const;
const largestSeed = 0x7fff_ffff;

sade('hickorybridged', true)
  .version('0.1.0')
  .describe('Runs a node of hickorybridge beside a backend server.')
  .option('--settings', 'Settings of the node (TOML)')
  .example('--settings node.toml')
  .action(async (options: { settings?: string }) => {
    if (options.settings === undefined) exitWith(ExitCode.usage, '--settings FILE is needed');
    else await run(options.settings);
  })
  .parse(process.argv);

async function run(file: string): Promise<void> {
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
  await using platformStore = new HttpPlatformStore(store);
  const random = new RandomSource(own.seed ?? randomInt(largestSeed));
  await using tracer = await createTracer({ ...settings.traces, ...own, nodeId: own.id });
  const node = createNode({
    settings,
    store: platformStore,
    clock: systemClock,
    random,
    logger,
    tracer,
  });
  const stopped = stopSignal();
  const started = await Promise.race([node.start(), stopped]);
  if (started !== undefined && !started.ok) {
    exitWith(ExitCode.failed, `cannot start node "${own.id}": ${started.error.detail}`);
    return;
  }
  logger.info('node-started', `node "${own.id}" is listening for callers`, {
    address: `${settings.listeners.callers.host}:${settings.listeners.callers.port}`,
  });
  await stopped;
  process.once('SIGTERM', () => process.exit(ExitCode.failed));
  process.once('SIGINT', () => process.exit(ExitCode.failed));
  await node.stop();
  await tracer[Symbol.asyncDispose]();
  process.exit(ExitCode.done);
}

/** Resolves at the first signal to stop. A second one ends the process at once. */
async function stopSignal(): Promise<undefined> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve(undefined));
    process.once('SIGINT', () => resolve(undefined));
  });
}

function exitWith(code: number, message: string): void {
  process.stderr.write(`${message}\n`);
  process.exit(code);
}
