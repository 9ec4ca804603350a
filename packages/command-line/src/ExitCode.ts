/** Exit codes of every command. */
export const ExitCode = {
  done: 0,
  /** The command failed and changed nothing that it has not reported. */
  failed: 1,
  wrongUsage: 2,
  /** An invalid file, or a conflict with another operator's change. */
  refused: 3,
  /** The command may have taken effect, or its effect cannot be confirmed everywhere. */
  unknown: 4,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
