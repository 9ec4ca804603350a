import type { Logger } from '@hickorybridge/logger';
import { loadSettings } from '@hickorybridge/platform';
import type { HostSettings } from '@hickorybridge/types';
import { isDeepStrictEqual } from 'node:util';

/** How often the file is read, since it may change without a signal; in milliseconds. */
const pollMilliseconds = 1000;

/** Settings that may change while the node runs. */
export interface SettingsSource extends AsyncDisposable {
  readonly current: HostSettings;
}

/** The settings file of this host. Values that can change while the node runs are read from here. */
export class SettingsFile implements SettingsSource {
  readonly #path: string;

  readonly #logger: Logger;

  readonly #timer: NodeJS.Timeout;

  #settings: HostSettings;

  constructor(path: string, settings: HostSettings, logger: Logger) {
    this.#path = path;
    this.#settings = settings;
    this.#logger = logger;
    this.#timer = setInterval(() => this.reload(), pollMilliseconds);
  }

  get current(): HostSettings {
    return this.#settings;
  }

  /** Reads the file again. A file with an error changes nothing. */
  reload(): void {
    const loaded = loadSettings(this.#path);
    if (!loaded.ok) {
      this.#logger.error('settings-invalid', loaded.error.detail);
      return;
    }
    if (isDeepStrictEqual(loaded.value, this.#settings)) return;
    this.#settings = loaded.value;
    this.#logger.info('settings-reloaded', 'the settings file has changed', {
      service: loaded.value.service,
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
  }
}
