#!/usr/bin/env node
import { StandInBackendServer } from './backendServer/StandInBackendServer.js';
import { commandLineValues } from './commandLineValues.js';

const values = commandLineValues([
  'id',
  'service',
  'host',
  'port',
  'control-port',
  'node',
  'seed',
  'control',
  'run-log',
]);

if (values.id === undefined || values.service === undefined) {
  process.stderr.write('backendServerBin: --id and --service are required\n');
  process.exit(2);
}

const server = await StandInBackendServer.start({
  id: values.id,
  service: values.service,
  host: values.host ?? '127.0.0.1',
  port: Number(values.port ?? '0'),
  controlPort: Number(values['control-port'] ?? '0'),
  ...(values.node === undefined ? {} : { node: values.node }),
  seed: Number(values.seed ?? '1'),
  ...(values['run-log'] === undefined ? {} : { runLog: values['run-log'] }),
  control: JSON.parse(values.control ?? '{}'),
});
process.stdout.write(`${JSON.stringify({ url: server.url, controlUrl: server.controlUrl })}\n`);

async function stop(): Promise<void> {
  await server.withdraw();
  await server[Symbol.asyncDispose]();
  process.exit(0);
}

process.once('SIGTERM', () => stop());
process.once('SIGINT', () => process.exit(0));
