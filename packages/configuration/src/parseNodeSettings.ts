import { fail, succeed } from '@hickorybridge/types';
import type { Result, SocketAddress } from '@hickorybridge/types';
import type { ConfigurationProblem } from './ConfigurationProblem.js';
import type { KeyLines } from './KeyLines.js';
import type { NodeSettings } from './NodeSettings.js';
import { nodeSettingsSchema } from './nodeSettingsSchema.js';
import { parseWithSchema } from './parseWithSchema.js';
import { formatSocketAddress, isLoopback } from './socketAddress.js';

/** Parses and checks a node's settings file (TOML). `fileName` appears in the problems. */
export function parseNodeSettings(
  text: string,
  fileName: string,
): Result<NodeSettings, ConfigurationProblem[]> {
  const parsed = parseWithSchema(nodeSettingsSchema, text, fileName);
  if (!parsed.ok) return parsed;
  const settings: NodeSettings = parsed.value.value;
  const problems = checkNodeSettings(settings, fileName, parsed.value.keyLines);
  return problems.length === 0 ? succeed(settings) : fail(problems);
}

function checkNodeSettings(
  settings: NodeSettings,
  file: string,
  keyLines: KeyLines,
): ConfigurationProblem[] {
  const { listeners, peers } = settings;
  const problems: ConfigurationProblem[] = [];
  const report = (listener: string, address: SocketAddress, message: string, expected: string) =>
    problems.push({
      file,
      key: `listeners.${listener}`,
      line: keyLines.find(['listeners', listener]),
      value: JSON.stringify(formatSocketAddress(address)),
      message,
      expected,
    });
  if (!isLoopback(listeners.announcements)) {
    report(
      'announcements',
      listeners.announcements,
      'the listener for announcements would be open to other hosts',
      'use a loopback address: only the backend server on the same host announces itself',
    );
  }
  if (peers.sharedKey === undefined) {
    for (const listener of ['operators', 'peers'] as const) {
      if (!isLoopback(listeners[listener])) {
        report(
          listener,
          listeners[listener],
          'the listener is not on loopback and there is no shared key',
          'set peers.sharedKey to at least 16 characters, or use a loopback address',
        );
      }
    }
  }
  return problems;
}
