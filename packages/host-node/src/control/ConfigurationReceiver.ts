import type { VersionedDocument } from '@hickorybridge/coordination';
import type { Logger } from '@hickorybridge/logger';
import { configurationKey, decodeRouteConfiguration } from '@hickorybridge/platform';
import type { WatchResult } from '@hickorybridge/store';
import type { RouteConfiguration } from '@hickorybridge/types';

/** How a configuration came to this node. */
export const ConfigurationSource = {
  /** The watch on current data. */
  watch: 'watch',
  /** The second watch, whose data may be stale. */
  check: 'check',
  peer: 'peer',
} as const;

export type ConfigurationSource = (typeof ConfigurationSource)[keyof typeof ConfigurationSource];

/** What is logged with a configuration besides its content. */
export interface ConfigurationOrigin {
  readonly source: ConfigurationSource;
  /** Time since the store answered this watch before, in milliseconds. */
  readonly silentMilliseconds?: number | undefined;
  /** Version of the object in the store. */
  readonly revision?: number | undefined;
  /** The node that it came from. */
  readonly peer?: string | undefined;
}

/** What taking in configurations needs. */
export interface ConfigurationReceiverOptions {
  /** Puts a configuration into force; false when it is not newer than the one in force. */
  readonly apply: (configuration: RouteConfiguration) => boolean;
  /** Is told of each configuration from the store that is in force. */
  readonly onStored: (document: VersionedDocument) => void;
  readonly logger: Logger;
}

/** Takes configurations from the store and from peers. */
export class ConfigurationReceiver {
  readonly #options: ConfigurationReceiverOptions;

  constructor(options: ConfigurationReceiverOptions) {
    this.#options = options;
  }

  /** Takes the configuration out of what the store reports. */
  receiveFromStore(result: WatchResult, origin: ConfigurationOrigin): void {
    const object = result.changed.find(({ key }) => key === configurationKey);
    if (object === undefined) return;
    const { value: text, version: revision } = object;
    const configuration = this.#decode(text, { ...origin, revision });
    if (configuration === undefined) return;
    if (!this.#apply(configuration, text, { ...origin, revision })) return;
    this.#options.onStored({ version: configuration.version, text });
  }

  /** Takes a configuration from a peer; false when it is not usable. */
  receiveFromPeer({ text, version }: VersionedDocument, peer: string): boolean {
    const origin: ConfigurationOrigin = { source: ConfigurationSource.peer, peer };
    const configuration = this.#decode(text, origin);
    if (configuration === undefined) return false;
    if (configuration.version !== version) {
      this.#options.logger.error(
        'configuration-mislabelled',
        'a peer sent a configuration under another version than its own',
        { peer, version, found: configuration.version },
      );
      return false;
    }
    return this.#apply(configuration, text, origin);
  }

  #decode(text: string, origin: ConfigurationOrigin): RouteConfiguration | undefined {
    const decoded = decodeRouteConfiguration(text);
    if (decoded.ok) return decoded.value;
    this.#options.logger.error('configuration-malformed', decoded.error.detail, { ...origin });
    return undefined;
  }

  #apply(configuration: RouteConfiguration, text: string, origin: ConfigurationOrigin): boolean {
    const { apply, logger } = this.#options;
    const { routes, services, version } = configuration;
    const fields = {
      version,
      routes: routes.length,
      services: services.size,
      characters: text.length,
      ...origin,
    };
    const applied = apply(configuration);
    if (applied) {
      logger.info('configuration-in-force', 'a configuration was read and is in force', fields);
    } else {
      logger.debug('configuration-known', 'a configuration was read again', fields);
    }
    return applied;
  }
}
