import type { VersionedDocument } from '@hickorybridge/coordination';
import type { Logger } from '@hickorybridge/logger';
import { configurationKey, decodeRouteConfiguration } from '@hickorybridge/platform';
import type { WatchResult } from '@hickorybridge/store';
import type { RouteConfiguration } from '@hickorybridge/types';

/** How a configuration reached this node. */
export const ConfigurationSource = {
  /** The watch that reads current data. */
  watch: 'watch',
  /** The second watch, which may read stale data. */
  check: 'check',
  peer: 'peer',
} as const;

export type ConfigurationSource = (typeof ConfigurationSource)[keyof typeof ConfigurationSource];

/** Where a configuration came from; its fields are logged. */
export interface ConfigurationOrigin {
  readonly source: ConfigurationSource;
  /** Time since the previous answer of the store to the same watch, in milliseconds. */
  readonly silentMilliseconds?: number | undefined;
  /** Version of the stored object, unlike the version of the configuration in it. */
  readonly revision?: number | undefined;
  /** The node that sent the configuration. */
  readonly peer?: string | undefined;
}

export interface ConfigurationReceiverOptions {
  /** Applies a configuration; returns false when it is not newer than the one in force. */
  readonly apply: (configuration: RouteConfiguration) => boolean;
  /** Called with each configuration from the store that was applied. */
  readonly onStored: (document: VersionedDocument) => void;
  readonly logger: Logger;
}

/** Decodes and applies configurations from the store and from peers. */
export class ConfigurationReceiver {
  readonly #options: ConfigurationReceiverOptions;

  constructor(options: ConfigurationReceiverOptions) {
    this.#options = options;
  }

  /** Applies the configuration if a watch reports that it has changed. */
  receiveFromStore(result: WatchResult, origin: ConfigurationOrigin): void {
    const object = result.changed.find(({ key }) => key === configurationKey);
    if (object === undefined) return;
    const { value: text, version: revision } = object;
    const configuration = this.#decode(text, { ...origin, revision });
    if (configuration === undefined) return;
    if (!this.#apply(configuration, text, { ...origin, revision })) return;
    this.#options.onStored({ version: configuration.version, text });
  }

  /** Applies a configuration from a peer; returns false when it is invalid or not newer. */
  receiveFromPeer({ text, version }: VersionedDocument, peer: string): boolean {
    const origin: ConfigurationOrigin = { source: ConfigurationSource.peer, peer };
    const configuration = this.#decode(text, origin);
    if (configuration === undefined) return false;
    if (configuration.version !== version) {
      this.#options.logger.error(
        'configuration-mislabelled',
        'a peer sent a configuration whose version differs from the announced one',
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
      logger.info('configuration-in-force', 'a new configuration is in force', fields);
    } else {
      logger.debug(
        'configuration-known',
        'received a configuration that is not newer than the one in force',
        fields,
      );
    }
    return applied;
  }
}
