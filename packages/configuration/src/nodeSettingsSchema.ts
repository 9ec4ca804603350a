import { z } from 'zod';
import { parseSocketAddress } from './socketAddress.js';

const maxTimeoutMilliseconds = 600_000;

const socketAddress = z
  .string()
  .refine((text) => parseSocketAddress(text) !== undefined, {
    message: 'must be an IP address and port, as in "127.0.0.1:8080" or "[::1]:8080"',
  })
  .transform((text) => parseSocketAddress(text) ?? { host: '', port: 0 })
  .meta({ title: 'an IP address and port, as in "127.0.0.1:8080"' });

const name = z
  .string()
  .regex(
    /^[a-z][a-z0-9-]{0,62}$/,
    'must be lower-case letters, digits and hyphens, as in "hall-a-3"',
  )
  .meta({ title: 'a name, as in "hall-a-3"' });

const httpUrl = z
  .url({
    protocol: /^https?$/,
    error: 'must be an http:// or https:// URL, as in "http://127.0.0.1:7000"',
  })
  .meta({ title: 'an http:// or https:// URL' });

const timeout = z.int().min(1).max(maxTimeoutMilliseconds);

const node = z.strictObject({
  id: name.describe('Name of the node, unique in the deployment; kept over restarts.'),
  region: name.describe('Region of the host.'),
  failureDomain: name.describe('Failure domain of the host.'),
  seed: z
    .int()
    .min(0)
    .max(0xffff_ffff)
    .optional()
    .describe('Seed of every random decision; a random one when it is absent.'),
});

const listeners = z.strictObject({
  callers: socketAddress.describe('Listener for callers (HTTP/1.1).'),
  announcements: socketAddress
    .prefault('127.0.0.1:8081')
    .describe('Listener for announcements of backend servers on this host (HTTP).'),
  operators: socketAddress.prefault('127.0.0.1:8082').describe('Listener for operators (HTTP).'),
  peers: socketAddress.describe('Listener for other nodes (framed TCP).'),
  advertisedPeers: socketAddress
    .optional()
    .describe("Address under which other nodes reach the peers' listener; `peers` when absent."),
  retryMilliseconds: z
    .int()
    .min(0)
    .max(maxTimeoutMilliseconds)
    .default(30_000)
    .describe(
      'Time for which a starting node tries an address again that is in use, in milliseconds.',
    ),
});

const store = z.strictObject({
  url: httpUrl.describe('URL of the store.'),
  timeoutMilliseconds: timeout
    .default(2_000)
    .describe('Time that one call to the store may take, in milliseconds.'),
});

const peers = z.strictObject({
  seeds: z.array(socketAddress).prefault([]).describe('Peers to ask first.'),
  sharedKey: z
    .string()
    .min(16)
    .optional()
    .describe("Key of all nodes; needed when a peers' or operators' listener is not on loopback."),
});

const shutdown = z.strictObject({
  noticeMilliseconds: z
    .int()
    .min(0)
    .max(maxTimeoutMilliseconds)
    .default(2_000)
    .describe('Time for which a stopping node still routes requests that arrive, in milliseconds.'),
  graceMilliseconds: z
    .int()
    .min(0)
    .max(maxTimeoutMilliseconds)
    .default(30_000)
    .describe('Time for open requests to end, in milliseconds; then they are answered `unknown`.'),
});

const log = z.strictObject({
  level: z
    .enum(['error', 'warn', 'info', 'debug'])
    .default('info')
    .describe('Least severe level that is written.'),
  format: z
    .enum(['text', 'json'])
    .default('text')
    .describe('Text for people or one JSON object a line.'),
});

const traces = z.strictObject({
  otlpUrl: httpUrl.optional().describe('Target of OTLP over HTTP; no export when it is absent.'),
  sampleShare: z
    .number()
    .min(0)
    .max(1)
    .default(0.01)
    .describe('Share of requests that are traced; errors and the slowest are always kept.'),
});

/** Schema of a node's settings file: the source of its checks, defaults and reference page. */
export const nodeSettingsSchema = z.strictObject({
  node: node.describe('Identity and place of the node.'),
  listeners: listeners.describe('Addresses on which the node listens.'),
  store: store.describe("The platform's store."),
  peers: peers.prefault({}).describe('Other nodes.'),
  shutdown: shutdown.prefault({}).describe('Graceful shutdown.'),
  log: log.prefault({}).describe('Log output.'),
  traces: traces.prefault({}).describe('Traces.'),
});
