import {
  type BackendServerDirectory,
  type BackendServerEntry,
  BackendServerState,
  Distance,
  Verdict,
  distanceBetween,
} from '@hickorybridge/types';
import { hashString } from '@hickorybridge/utils';
import type { SelectorContext } from './BackendServerSelector.js';

/** Backend servers by distance: same failure domain, same region, other region. */
export type Tiers = readonly [
  readonly BackendServerEntry[],
  readonly BackendServerEntry[],
  readonly BackendServerEntry[],
];

/** Share of the subset reserved for other failure domains of the router's region. */
const sameRegionShare = 0.25;
/** Share of the subset reserved for the other region, so that load can always overflow to it. */
const otherRegionShare = 0.125;

interface CachedSubset {
  readonly list: readonly BackendServerEntry[];
  /** All serving backend servers, by descending rendezvous score. */
  readonly all: Tiers;
  readonly subset: Tiers;
}

export interface SubsetOptions {
  readonly context: SelectorContext;
  readonly directory: BackendServerDirectory;
  /** Maximum number of backend servers per service. */
  readonly size: number;
}

/**
 * Chooses the backend servers of each service that one router uses, which bounds the number of
 * connections. They are chosen by rendezvous hashing, those of the same failure domain first. The
 * subset is recomputed when the directory returns a different array for the service.
 */
export class BackendServerSubset {
  readonly #options: SubsetOptions;

  readonly #cache = new Map<string, CachedSubset>();

  /** Rendezvous score by backend server ID; it never changes. */
  readonly #scores = new Map<string, number>();

  constructor(options: SubsetOptions) {
    this.#options = options;
  }

  /**
   * Returns the backend servers that are serving, not judged `down` and not excluded. Falls back to
   * those outside the subset when it has none.
   */
  eligible(service: string, excluded: ReadonlySet<string>): Tiers {
    const cached = this.#subsetOf(service);
    const eligible = this.#filter(service, cached.subset, excluded);
    if (eligible.some((tier) => tier.length > 0)) return eligible;
    return this.#filter(service, cached.all, excluded);
  }

  #filter(service: string, tiers: Tiers, excluded: ReadonlySet<string>): Tiers {
    const { directory } = this.#options;
    const isEligible = (entry: BackendServerEntry): boolean =>
      directory.verdictOf(service, entry.backendServerId) !== Verdict.down &&
      !excluded.has(entry.backendServerId);
    return [tiers[0].filter(isEligible), tiers[1].filter(isEligible), tiers[2].filter(isEligible)];
  }

  #subsetOf(service: string): CachedSubset {
    const list = this.#options.directory.list(service);
    const known = this.#cache.get(service);
    if (known !== undefined && known.list === list) return known;
    const all = this.#orderedTiers(list);
    const cached = { list, all, subset: limitTiers(all, this.#options.size) };
    this.#cache.set(service, cached);
    return cached;
  }

  #orderedTiers(list: readonly BackendServerEntry[]): Tiers {
    const { location } = this.#options.context;
    const serving = list
      .filter((entry) => entry.state === BackendServerState.serving)
      .sort((first, second) => this.#scoreOf(second) - this.#scoreOf(first));
    const at = (distance: Distance): BackendServerEntry[] =>
      serving.filter((entry) => distanceBetween(location, entry) === distance);
    return [at(Distance.sameFailureDomain), at(Distance.sameRegion), at(Distance.otherRegion)];
  }

  #scoreOf(entry: BackendServerEntry): number {
    const known = this.#scores.get(entry.backendServerId);
    if (known !== undefined) return known;
    const score = hashString(`${entry.backendServerId}\u0000${this.#options.context.nodeId}`);
    this.#scores.set(entry.backendServerId, score);
    return score;
  }
}

/** Limits each tier to its share; unused places go to the nearest tier with more entries. */
function limitTiers(all: Tiers, size: number): Tiers {
  const counts = [0, 0, 0];
  counts[2] = Math.min(all[2].length, Math.ceil(size * otherRegionShare));
  counts[1] = Math.min(all[1].length, Math.ceil(size * sameRegionShare));
  let free = size - counts[1] - counts[2];
  for (const tier of [0, 1, 2] as const) {
    const more = Math.max(0, Math.min(free, all[tier].length - (counts[tier] ?? 0)));
    counts[tier] = (counts[tier] ?? 0) + more;
    free -= more;
  }
  return [all[0].slice(0, counts[0]), all[1].slice(0, counts[1]), all[2].slice(0, counts[2])];
}
