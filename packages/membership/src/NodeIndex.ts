import {
  type BackendServerEntry,
  BackendServerState,
  type SocketAddress,
} from '@hickorybridge/types';
import type { NodeRecord } from './NodeRecord.js';

const noEntries: readonly BackendServerEntry[] = [];

/** The live nodes by name and failure domain, and their backend servers by service. */
export class NodeIndex {
  readonly #records = new Map<string, NodeRecord>();

  #byService: Map<string, BackendServerEntry[]> | undefined;

  #byDomain: Map<string, NodeRecord[]> | undefined;

  #revision = 0;

  /** Rises with each change, for caches of what is derived from this index. */
  get revision(): number {
    return this.#revision;
  }

  /** Gives the number of live nodes. */
  get size(): number {
    return this.#records.size;
  }

  /** Adds or replaces the record of a live node. */
  put(record: NodeRecord): void {
    this.#records.set(record.nodeId, record);
    this.#invalidate();
  }

  /** Removes a node. */
  remove(nodeId: string): void {
    if (this.#records.delete(nodeId)) this.#invalidate();
  }

  /** Gives the record of a live node. */
  get(nodeId: string): NodeRecord | undefined {
    return this.#records.get(nodeId);
  }

  /** Lists all live nodes. */
  all(): NodeRecord[] {
    return [...this.#records.values()];
  }

  /** Lists the failure domains that have live nodes, sorted. */
  failureDomains(): string[] {
    return [...this.#domains().keys()].sort();
  }

  /** Lists the live nodes of a failure domain. */
  inFailureDomain(failureDomain: string): readonly NodeRecord[] {
    return this.#domains().get(failureDomain) ?? [];
  }

  /** Lists the backend servers of a service. The list is the same object until a change. */
  backendServersOf(service: string): readonly BackendServerEntry[] {
    this.#byService ??= groupByService(this.#records.values());
    return this.#byService.get(service) ?? noEntries;
  }

  /** Gives the address of a node's peer listener. */
  peerAddressOf(nodeId: string): SocketAddress | undefined {
    return this.#records.get(nodeId)?.peerAddress;
  }

  #domains(): Map<string, NodeRecord[]> {
    this.#byDomain ??= groupByDomain(this.#records.values());
    return this.#byDomain;
  }

  #invalidate(): void {
    this.#revision += 1;
    this.#byService = undefined;
    this.#byDomain = undefined;
  }
}

function groupByDomain(records: Iterable<NodeRecord>): Map<string, NodeRecord[]> {
  const groups = new Map<string, NodeRecord[]>();
  for (const record of records) {
    const group = groups.get(record.failureDomain);
    if (group === undefined) groups.set(record.failureDomain, [record]);
    else group.push(record);
  }
  return groups;
}

function groupByService(records: Iterable<NodeRecord>): Map<string, BackendServerEntry[]> {
  const groups = new Map<string, BackendServerEntry[]>();
  for (const record of records) {
    for (const entry of entriesOf(record)) {
      const group = groups.get(entry.service);
      if (group === undefined) groups.set(entry.service, [entry]);
      else group.push(entry);
    }
  }
  return groups;
}

function entriesOf(record: NodeRecord): BackendServerEntry[] {
  return record.backendServers.map((backendServer) => ({
    ...backendServer,
    state: record.leaving ? BackendServerState.leaving : backendServer.state,
    nodeId: record.nodeId,
    incarnation: record.incarnation,
    sequence: record.sequence,
    region: record.region,
    failureDomain: record.failureDomain,
  }));
}
