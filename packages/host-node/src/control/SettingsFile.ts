import type { Logger } from '@hickorybridge/logger';
import { parseSettings, readSettings } from '@hickorybridge/platform';
import type { HostSettings } from '@hickorybridge/types';
import { isDeepStrictEqual } from 'node:util';

/** Interval at which the file is read again, since it may change without a `SIGHUP`. */
const reloadIntervalMilliseconds = 1000;

/** Settings that may change while the node runs. */
export interface SettingsSource extends AsyncDisposable {
  readonly current: HostSettings;
}

/** Reads the settings file of this host again when it changes while the node runs. */
export class SettingsFile implements SettingsSource {
  readonly #path: string;

  readonly #logger: Logger;

  readonly #timer: NodeJS.Timeout;

  #settings: HostSettings;

  /** Text of the file when it was last parsed; parsing it each time would cost more than reading. */
  #text: string | undefined;

  constructor(path: string, settings: HostSettings, logger: Logger) {
    this.#path = path;
    this.#settings = settings;
    this.#logger = logger;
    this.#timer = setInterval(() => this.reload(), reloadIntervalMilliseconds);
  }

  get current(): HostSettings {
    return this.#settings;
  }

  /** Reads the file again. If it is invalid, the current settings stay in use. */
  reload(): void {
    const text = readSettings(this.#path);
    if (text.ok && text.value === this.#text) return;
    const loaded = text.ok ? parseSettings(text.value, this.#path) : text;
    this.#text = text.ok ? text.value : undefined;
    if (!loaded.ok) {
      this.#logger.error('settings-invalid', loaded.error.detail);
      return;
    }
    if (isDeepStrictEqual(loaded.value, this.#settings)) return;
    this.#settings = loaded.value;
    this.#logger.info('settings-reloaded', 'loaded the changed settings file', {
      service: loaded.value.service,
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
  }
}
