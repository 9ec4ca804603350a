import { loadSettings, type InvalidSettings } from '@hickorybridge/platform';
import type { HostSettings, Result } from '@hickorybridge/types';
import type { Clock } from '@hickorybridge/utils';

export interface LoadSettingsAtStartOptions {
  readonly path: string;
  readonly clock: Clock;
  /** Called at the first failure, if the file is read again. */
  readonly onRetry: (detail: string) => void;
}

/** For how long a file that cannot be used is read again. */
export const settingsRetryMilliseconds = 3000;
const retryPauseMilliseconds = 50;

/**
 * Loads the settings of a process that starts. A file that is missing or incomplete may be about to be
 * replaced, so it is read again for a short time.
 */
export async function loadSettingsAtStart({
  clock,
  onRetry,
  path,
}: LoadSettingsAtStartOptions): Promise<Result<HostSettings, InvalidSettings>> {
  const until = clock.now() + settingsRetryMilliseconds;
  let settings = loadSettings(path);
  if (!settings.ok) onRetry(settings.error.detail);
  while (!settings.ok && clock.now() < until) {
    await clock.sleep(retryPauseMilliseconds);
    settings = loadSettings(path);
  }
  return settings;
}
