import { readFile } from 'node:fs/promises';
import { formatSocketAddress } from '@hickorybridge/configuration';
import type { SocketAddress } from '@hickorybridge/types';
import type { CommandContext, CommandInput, OptionDefinition } from './CommandDefinition.js';
import { textOption, timeoutOption } from './commonOptions.js';
import { OperatorsClient } from './OperatorsClient.js';
import type { OperatorsError } from './OperatorsClient.js';
import { UsageError } from './UsageError.js';
import { checkUrl, timeoutOf } from './withStore.js';

/** Address of a node's operators' listener. */
export const nodeOption: OptionDefinition = {
  name: 'node',
  valueName: 'URL',
  description: "URL of a node's operators' listener",
  environment: 'HICKORYBRIDGE_NODE',
};

/** File with the shared key. */
export const keyFileOption: OptionDefinition = {
  name: 'key-file',
  valueName: 'FILE',
  description: 'File with the shared key, for listeners that are not on loopback',
  environment: 'HICKORYBRIDGE_KEY_FILE',
};

/** Options of every command that asks a node. */
export const nodeOptions: readonly OptionDefinition[] = [nodeOption, keyFileOption, timeoutOption];

/** Makes clients of the nodes that the options permit to ask. */
export interface NodeAccess {
  /** The node of `--node`. */
  readonly first: OperatorsClient;
  /** Another node, by the address that it gives for its operators' listener. */
  readonly at: (address: SocketAddress) => OperatorsClient;
}

/** Gives access to the node that `--node` names. */
export async function openNode(input: CommandInput, context: CommandContext): Promise<NodeAccess> {
  const url = textOption(nodeOption, input, context);
  if (url === undefined) {
    throw new UsageError(
      'the node is not known: add --node URL or set HICKORYBRIDGE_NODE, as in --node http://127.0.0.1:8082',
    );
  }
  checkUrl(url, '--node');
  const at = await openNodes(input, context);
  return { first: at.url(url), at: at.address };
}

/** Makes clients with the key and the time limit of the options. */
export async function openNodes(
  input: CommandInput,
  context: CommandContext,
): Promise<{
  readonly url: (url: string) => OperatorsClient;
  readonly address: (address: SocketAddress) => OperatorsClient;
}> {
  const key = await readKey(input, context);
  const timeoutMilliseconds = timeoutOf(input, context);
  const open = (url: string) => new OperatorsClient({ url, key, timeoutMilliseconds });
  return { url: open, address: (address) => open(`http://${formatSocketAddress(address)}`) };
}

/** Says what to do about a node that gave no usable answer. */
export function describeNodeError(error: OperatorsError): string {
  return error.type === 'unreachable'
    ? `the node cannot be reached: ${error.detail}`
    : error.detail;
}

async function readKey(input: CommandInput, context: CommandContext): Promise<string | undefined> {
  const file = textOption(keyFileOption, input, context);
  if (file === undefined) return undefined;
  try {
    return (await readFile(file, 'utf8')).trim();
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new UsageError(`cannot read the key file ${file}: ${reason}`);
  }
}
