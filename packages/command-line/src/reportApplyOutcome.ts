import { formatChange } from '@hickorybridge/configuration';
import { match, P } from 'ts-pattern';
import type { ApplyOutcome } from './applyDeployment.js';
import type { CommandContext } from './CommandDefinition.js';
import { compareWithAccepted } from './compareWithAccepted.js';
import { describeStanding } from './describeStanding.js';
import { ExitCode } from './ExitCode.js';
import type { DeploymentFile } from './readDeploymentFile.js';

/** Gives the exit code of an apply. */
export function exitCodeOf(outcome: ApplyOutcome): ExitCode {
  return match<ApplyOutcome['type'], ExitCode>(outcome.type)
    .with('accepted', 'unchanged', () => ExitCode.done)
    .with('refused', () => ExitCode.refused)
    .with('failed', () => ExitCode.failed)
    .with('replaced', 'unknown', () => ExitCode.unknown)
    .exhaustive();
}

/** Gives the JSON object of an apply. */
export function applyOutcomeToJson(outcome: ApplyOutcome, read: DeploymentFile): object {
  return match<ApplyOutcome, object>(outcome)
    .with({ type: P.union('accepted', 'unchanged') }, ({ type, accepted }) => ({
      result: type,
      number: accepted.number,
      applyId: accepted.applyId,
    }))
    .with({ type: 'refused' }, ({ standing }) => ({
      result: 'refused',
      reason: 'conflict',
      standing,
      ...compareWithAccepted(standing, read.deployment),
    }))
    .otherwise(({ type, ...members }) => ({ result: type, ...members }));
}

/** What a report needs besides the outcome. */
export interface ApplyReportOptions {
  readonly file: string;
  readonly read: DeploymentFile;
  readonly context: CommandContext;
}

/** Prints how an apply ended. */
export function printApplyOutcome(outcome: ApplyOutcome, options: ApplyReportOptions): void {
  const { context, file } = options;
  match(outcome)
    .with({ type: 'accepted' }, ({ accepted }) =>
      context.print(`accepted ${file} as deployment number ${accepted.number}`),
    )
    .with({ type: 'unchanged' }, ({ accepted }) =>
      context.print(
        `${file} is already accepted as deployment number ${accepted.number}; nothing was written`,
      ),
    )
    .with({ type: 'refused' }, (refused) => printRefusal(refused, options))
    .with({ type: 'replaced', certain: true }, ({ standing }) =>
      context.printError(
        `accepted ${file}, but another change has replaced it: ${describeStanding(standing)}`,
      ),
    )
    .with({ type: 'replaced' }, ({ standing }) =>
      context.printError(
        `unknown: ${file} may have been accepted for a time; now ${describeStanding(standing)}`,
      ),
    )
    .with({ type: 'unknown' }, ({ detail }) => {
      context.printError(
        `unknown: the store did not confirm the write (${detail}); it may still take effect`,
      );
      context.printError(`find out with \`hickorybridge diff ${file}\`, or apply again`);
    })
    .with({ type: 'failed' }, ({ detail }) =>
      context.printError(`cannot apply ${file}: ${detail}; nothing was written`),
    )
    .exhaustive();
}

function printRefusal(
  { standing }: Extract<ApplyOutcome, { type: 'refused' }>,
  { context, file, read }: ApplyReportOptions,
): void {
  context.printError(`refused ${file}: ${describeStanding(standing)}`);
  const { changes, unreadable } = compareWithAccepted(standing, read.deployment);
  if (unreadable !== undefined) context.printError(unreadable);
  else context.printError(`applying ${file} over it would change:`);
  changes.forEach((change) => context.printError(`  ${formatChange(change)}`));
  context.printError(
    `take over what you want to keep, then apply with --expect ${standing?.number ?? 0}`,
  );
}
