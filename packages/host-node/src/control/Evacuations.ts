import type { VersionedDocument } from '@hickorybridge/coordination';
import type { Logger } from '@hickorybridge/logger';
import type { RefusalReason } from '@hickorybridge/types';

export interface EvacuationsOptions {
  /** Called when the set of evacuated failure domains has changed, or is known for the first time. */
  readonly onChange: () => void;
  readonly logger: Logger;
}

/** The failure domains whose backend servers must not get requests. */
export class Evacuations {
  readonly #options: EvacuationsOptions;

  #domains: ReadonlySet<string> = new Set();

  #document: VersionedDocument | undefined;

  constructor(options: EvacuationsOptions) {
    this.#options = options;
  }

  /** Whether a set was received since the start of the process. */
  get isKnown(): boolean {
    return this.#document !== undefined;
  }

  /** Why requests may not reach the backend servers of a failure domain, if so. */
  reasonToRefuse(failureDomain: string): RefusalReason | undefined {
    // The failure domain may have been evacuated before this process started.
    if (!this.isKnown) return 'not-ready';
    return this.has(failureDomain) ? 'leaving' : undefined;
  }

  /** Number of evacuated failure domains. */
  get size(): number {
    return this.#domains.size;
  }

  has(failureDomain: string): boolean {
    return this.#domains.has(failureDomain);
  }

  /**
   * Applies a document from the store. Returns whether it has to be published: the first one, and
   * each one that changes the set.
   */
  applyStored(document: VersionedDocument): boolean {
    // A later revision with the same set is not published, so that it does not wake all nodes.
    return !this.#confirm(document) && this.#apply(document, undefined);
  }

  /**
   * Applies a document from a peer. Returns false if it is malformed, or if it is not newer and
   * differs from the set in force.
   */
  applyFromPeer(document: VersionedDocument, peer: string): boolean {
    return this.#confirm(document) || this.#apply(document, peer);
  }

  /** Records the version of a document with the set in force; returns false for any other set. */
  #confirm({ text, version }: VersionedDocument): boolean {
    if (this.#document?.text !== text) return false;
    this.#document = { text, version: Math.max(version, this.#document.version) };
    return true;
  }

  #apply(document: VersionedDocument, peer: string | undefined): boolean {
    const { logger, onChange } = this.#options;
    const { text, version } = document;
    if (this.#document !== undefined && version <= this.#document.version) return false;
    const domains = parseDomains(text);
    if (domains === undefined) {
      logger.error('evacuations-malformed', 'ignored a list of evacuated failure domains', {
        peer,
        version,
      });
      return false;
    }
    this.#document = document;
    this.#domains = new Set(domains);
    logger.info('evacuations-in-force', 'the set of evacuated failure domains is in force', {
      failureDomains: domains.join(', '),
      version,
      peer,
    });
    onChange();
    return true;
  }
}

function parseDomains(text: string): readonly string[] | undefined {
  try {
    const domains: unknown = JSON.parse(text);
    const isList = Array.isArray(domains) && domains.every((name) => typeof name === 'string');
    return isList ? domains : undefined;
  } catch {
    return undefined;
  }
}
