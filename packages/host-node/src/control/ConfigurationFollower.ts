import type { Logger } from '@hickorybridge/logger';
import { configurationKey, decodeRouteConfiguration } from '@hickorybridge/platform';
import type { WatchResult } from '@hickorybridge/store';
import type { RouteConfiguration } from '@hickorybridge/types';

/** Takes configurations out of what the store reports. */
export class ConfigurationFollower {
  readonly #apply: (configuration: RouteConfiguration) => boolean;

  readonly #logger: Logger;

  constructor(apply: (configuration: RouteConfiguration) => boolean, logger: Logger) {
    this.#apply = apply;
    this.#logger = logger;
  }

  take(result: WatchResult): void {
    const object = result.changed.find(({ key }) => key === configurationKey);
    if (object === undefined) return;
    const decoded = decodeRouteConfiguration(object.value);
    if (!decoded.ok) {
      this.#logger.error('configuration-malformed', decoded.error.detail, {
        revision: object.version,
      });
      return;
    }
    const { routes, services, version } = decoded.value;
    if (!this.#apply(decoded.value)) return;
    this.#logger.info('configuration-in-force', 'a configuration was read and is in force', {
      version,
      revision: object.version,
      routes: routes.length,
      services: services.size,
    });
  }
}
