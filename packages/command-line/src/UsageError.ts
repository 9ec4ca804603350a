/** Wrong arguments. Ends the command with exit code 2 and the message on standard error. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}
