import type { Deployment } from '@hickorybridge/configuration';
import type { PlatformStore } from '@hickorybridge/store';
import type { CommandContext, CommandInput, OptionDefinition } from './CommandDefinition.js';
import { isSet, jsonOption, textOption } from './commonOptions.js';
import { DeploymentConfirmation, isConfirmed } from './DeploymentConfirmation.js';
import type { DomainProgress } from './DeploymentConfirmation.js';
import { nodeOption, openNodes } from './openNode.js';
import { UsageError } from './UsageError.js';
import { checkUrl } from './withStore.js';

/** Waits until the deployment is in effect. */
export const waitOption: OptionDefinition = {
  name: 'wait',
  description: 'Wait until the deployment is in effect at every node, and show the progress',
};

/** How long `--wait` waits. */
export const waitLimitOption: OptionDefinition = {
  name: 'wait-limit',
  valueName: 'SECONDS',
  description: 'Time to wait at most; 30 by default',
};

const defaultLimitSeconds = 30;
const maxReasons = 3;

/** What to wait for. */
export interface WaitTarget {
  readonly store: PlatformStore;
  readonly deployment: Deployment;
  readonly number: number;
}

/** Waits, prints the progress, and gives how far the deployment has come. */
export async function waitForDeployment(
  input: CommandInput,
  context: CommandContext,
  target: WaitTarget,
): Promise<DomainProgress[]> {
  const json = isSet(jsonOption, input);
  const nodes = await openNodes(input, context);
  const informantUrl = textOption(nodeOption, input, context);
  if (informantUrl !== undefined) checkUrl(informantUrl, '--node');
  const confirmation = new DeploymentConfirmation({
    ...target,
    clock: context.clock,
    limitMilliseconds: waitLimitSeconds(input, context) * 1_000,
    clientAt: nodes.address,
    informant: informantUrl === undefined ? undefined : nodes.url(informantUrl),
    progress: (progress, milliseconds) => {
      if (!json) context.print(formatProgress(progress, milliseconds));
    },
  });
  const domains = await confirmation.run();
  if (!json) printEnd(domains, target.number, context);
  return domains;
}

/** Reads the limit, so that a wrong one is found before anything is written. */
export function waitLimitSeconds(input: CommandInput, context: CommandContext): number {
  const text = textOption(waitLimitOption, input, context);
  if (text === undefined) return defaultLimitSeconds;
  const seconds = Number(text);
  if (text !== '' && seconds >= 0 && Number.isFinite(seconds)) return seconds;
  throw new UsageError(`--wait-limit ${JSON.stringify(text)} must be a number of seconds from 0`);
}

function formatProgress(domains: readonly DomainProgress[], milliseconds: number): string {
  const counts = domains.map(
    ({ failureDomain, confirmed, nodes }) => `${failureDomain} ${confirmed}/${nodes}`,
  );
  return `${(milliseconds / 1_000).toFixed(1).padStart(6)} s  ${counts.join('  ')}`;
}

function printEnd(
  domains: readonly DomainProgress[],
  number: number,
  context: CommandContext,
): void {
  if (isConfirmed(domains)) {
    context.print(`number ${number} is in effect at every node of every failure domain`);
    return;
  }
  context.printError(
    `number ${number} is accepted, but it cannot be confirmed that it is in effect everywhere:`,
  );
  domains.forEach((domain) => printUnconfirmed(domain, context));
  context.printError(
    'where it is not confirmed, an older deployment may still be in effect; look again with `status`',
  );
}

function printUnconfirmed(domain: DomainProgress, context: CommandContext): void {
  const { failureDomain, nodes, confirmed, unconfirmed } = domain;
  if (nodes === 0) {
    context.printError(`  ${failureDomain}: the rosters in the store name no node there`);
    return;
  }
  if (unconfirmed.length === 0) return;
  context.printError(`  ${failureDomain}: ${confirmed} of ${nodes} nodes confirmed`);
  unconfirmed
    .slice(0, maxReasons)
    .forEach(({ nodeId, reason }) => context.printError(`    ${nodeId}: ${reason}`));
  const more = unconfirmed.length - maxReasons;
  if (more > 0) context.printError(`    and ${more} more`);
}
