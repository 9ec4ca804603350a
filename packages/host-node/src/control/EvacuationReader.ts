import type { VersionedDocument } from '@hickorybridge/coordination';
import type { Logger } from '@hickorybridge/logger';
import { decodeEvacuation } from '@hickorybridge/platform';
import type { WatchResult } from '@hickorybridge/store';

/** Turns what one watch of the store reports into documents that list the evacuated domains. */
export class EvacuationReader {
  readonly #logger: Logger;

  /** Evacuated failure domains, by the key of the stored object. */
  readonly #domains = new Map<string, string>();

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /**
   * Takes in a result of the watch and returns the state after it. Documents are ordered by the
   * revision, which holds the era of the store and so increases after a restore, too.
   */
  read(result: WatchResult): VersionedDocument {
    if (result.complete === true) this.#domains.clear();
    for (const key of result.removed ?? []) this.#domains.delete(key);
    for (const object of result.changed) {
      const failureDomain = decodeEvacuation(object);
      if (failureDomain === undefined) {
        this.#logger.error(
          'evacuation-malformed',
          'ignored an object that requests no evacuation',
          {
            key: object.key,
            version: object.version,
          },
        );
      } else {
        this.#domains.set(object.key, failureDomain);
      }
    }
    return {
      version: result.revision,
      text: JSON.stringify([...this.#domains.values()].sort()),
    };
  }
}
