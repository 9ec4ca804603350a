#!/usr/bin/env node
import { commandLineValues } from './commandLineValues.js';
import { StandInStore } from './store/StandInStore.js';

const values = commandLineValues(['host', 'port']);
const store = await StandInStore.start({
  host: values.host ?? '127.0.0.1',
  port: Number(values.port ?? '0'),
});
process.stdout.write(`${JSON.stringify({ url: store.url })}\n`);

async function stop(): Promise<void> {
  await store[Symbol.asyncDispose]();
  process.exit(0);
}

process.once('SIGTERM', () => stop());
process.once('SIGINT', () => stop());
