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

/** Backend servers by distance: own failure domain, own region, other region. */
export type Tiers = readonly [
  readonly BackendServerEntry[],
  readonly BackendServerEntry[],
  readonly BackendServerEntry[],
];

/** Share of the subset that is kept for other failure domains of the own region. */
const sameRegionShare = 0.25;
/** Share of the subset that is kept for the other region, so that load can always overflow. */
const otherRegionShare = 0.125;

interface CachedSubset {
  readonly list: readonly BackendServerEntry[];
  /** All serving ones, in rendezvous order. */
  readonly all: Tiers;
  readonly subset: Tiers;
}

/** Options of a subset. */
export interface SubsetOptions {
  readonly context: SelectorContext;
  readonly directory: BackendServerDirectory;
  /** Backend servers of one service at most. */
  readonly size: number;
}

/**
 * The backend servers of each service that one router uses: chosen by rendezvous hashing, own
 * failure domain first, so that the number of connections stays bounded. The subset is computed
 * again when the directory gives another array for the service.
 */
export class BackendServerSubset {
  readonly #options: SubsetOptions;

  readonly #cache = new Map<string, CachedSubset>();

  /** Rendezvous score of each backend server, which never changes. */
  readonly #scores = new Map<string, number>();

  constructor(options: SubsetOptions) {
    this.#options = options;
  }

  /** Gives those that may be chosen: serving, not `down` by verdict and not excluded. */
  eligible(service: string, excluded: ReadonlySet<string>): Tiers {
    const cached = this.#subsetOf(service);
    const eligible = this.#filter(service, cached.subset, excluded);
    if (eligible.some((tier) => tier.length > 0)) return eligible;
    return this.#filter(service, cached.all, excluded);
  }

  #filter(service: string, tiers: Tiers, excluded: ReadonlySet<string>): Tiers {
    const { directory } = this.#options;
    const mayBeChosen = (entry: BackendServerEntry): boolean =>
      directory.verdictOf(service, entry.backendServerId) !== Verdict.down &&
      !excluded.has(entry.backendServerId);
    return [
      tiers[0].filter(mayBeChosen),
      tiers[1].filter(mayBeChosen),
      tiers[2].filter(mayBeChosen),
    ];
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

/** Takes the first of each tier; places that a tier cannot fill go to the nearest that can. */
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
