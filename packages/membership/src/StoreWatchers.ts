import type { HostEntry } from '@hickorybridge/types';
import { hashString } from '@hickorybridge/utils';

import type { HostDirectory } from './HostDirectory.js';

/** Nodes of a region that follow the store for the others; the loss of two is borne. */
const minimumWatchers = 3;
/** With more nodes, each watcher answers the questions of about this many. */
const nodesForEachWatcher = 40;

/** Which node chooses its watchers, and among which hosts. */
export interface StoreWatchersOptions {
  readonly nodeId: string;
  readonly region: string;
  readonly directory: HostDirectory;
}

/** A node that follows the store for those of its region. */
export interface Watcher {
  readonly nodeId: string;
  readonly region: string;
}

/**
 * Chooses the nodes of each region that follow the store, by a hash of their names, so that all nodes
 * choose the same ones without agreeing on them. Nodes that see different lists choose a few more.
 */
export class StoreWatchers {
  readonly #options: StoreWatchersOptions;

  #chosen: readonly Watcher[] | undefined;

  constructor(options: StoreWatchersOptions) {
    this.#options = options;
    options.directory.onChange(() => {
      this.#chosen = undefined;
    });
  }

  /** Whether this node is one of them. */
  get includesSelf(): boolean {
    return this.#all().includes(this.#options.nodeId);
  }

  /** The other ones. */
  others(): readonly string[] {
    return this.#all().filter((nodeId) => nodeId !== this.#options.nodeId);
  }

  /** The watchers of all regions, this node included if it is one. */
  ofAllRegions(): readonly Watcher[] {
    this.#chosen ??= chooseInEachRegion(this.#options.directory.list());
    return this.#chosen;
  }

  #all(): readonly string[] {
    return this.ofAllRegions()
      .filter(({ region }) => region === this.#options.region)
      .map(({ nodeId }) => nodeId);
  }
}

function chooseInEachRegion(hosts: readonly HostEntry[]): Watcher[] {
  const byRegion = new Map<string, HostEntry[]>();
  for (const host of hosts) {
    if (host.leaving) continue;
    const { region } = host.location;
    const inRegion = byRegion.get(region);
    if (inRegion === undefined) byRegion.set(region, [host]);
    else inRegion.push(host);
  }
  return [...byRegion].flatMap(([region, inRegion]) =>
    chooseWatchers(inRegion).map((nodeId) => ({ nodeId, region })),
  );
}

function chooseWatchers(hosts: readonly HostEntry[]): readonly string[] {
  const count = Math.max(minimumWatchers, Math.ceil(hosts.length / nodesForEachWatcher));
  return hosts
    .map(({ nodeId }) => ({ nodeId, hash: hashString(`watcher ${nodeId}`) }))
    .sort((first, second) => first.hash - second.hash)
    .slice(0, count)
    .map(({ nodeId }) => nodeId);
}
