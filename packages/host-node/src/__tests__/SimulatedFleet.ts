import { SimulatedClock } from '@hickorybridge/coordination';
import type { HostDirectory } from '@hickorybridge/membership';
import { HostSelector, HostSubset, RouteWorkEstimator } from '@hickorybridge/routing';
import type { HostEntry, LoadReport, Location, Route } from '@hickorybridge/types';
import { HostSpeedModel, RandomSource } from '@hickorybridge/utils';

import type { CallerRequest } from '../routing/CallerRequest.js';
import { HostChoice } from '../routing/HostChoice.js';
import { LoadProber } from '../routing/LoadProber.js';
import { SimulatedHost } from './SimulatedHost.js';

/** Options of a fleet in one region whose nodes send requests to the hosts of one service. */
export interface SimulatedFleetOptions {
  readonly hosts: number;
  /** Number of nodes that send requests; the first ones run on the hosts of the service. */
  readonly nodes: number;
  readonly slots: number;
  readonly workMilliseconds: number;
  /** Mean share of all slots that is in use. */
  readonly utilisation: number;
  readonly seed: number;
}

const service = 'desk';
const oneWayMilliseconds = 1;

export interface SimulatedNode {
  readonly choice: HostChoice;
  readonly onReport: (host: SimulatedHost, report: LoadReport) => void;
}

/** Simulates requests in simulated time, with the host selection that real nodes use. */
export class SimulatedFleet {
  readonly clock = new SimulatedClock();

  /** Number of requests that were delivered to a host. */
  delivered = 0;

  /** Number of probes that nodes sent. */
  probes = 0;

  /** Number of requests that were queued while another host had a free slot. */
  queuedDespiteFreeSlots = 0;

  readonly #options: SimulatedFleetOptions;

  readonly #random: RandomSource;

  readonly #hosts = new Map<string, SimulatedHost>();

  readonly #nodes: SimulatedNode[] = [];

  readonly #route: Route;

  constructor(options: SimulatedFleetOptions) {
    this.#options = options;
    this.#random = new RandomSource(options.seed);
    this.#route = {
      name: 'reads',
      host: 'a.example',
      pathPrefix: '/',
      idempotent: true,
      timeoutMilliseconds: options.workMilliseconds * 6,
      targetMilliseconds: options.workMilliseconds * 4,
      priority: 0,
      maxAttempts: 2,
      services: [{ service, weight: 1 }],
    };
    const entries = Array.from({ length: options.nodes }, (_, index) => this.#createEntry(index));
    for (const entry of entries.slice(0, options.hosts)) {
      this.#hosts.set(entry.nodeId, new SimulatedHost(entry, options.workMilliseconds));
    }
    for (const { location, nodeId } of entries) {
      this.#nodes.push(this.#createNode(nodeId, location, entries));
    }
  }

  /** Sends requests for some time and returns the share that was queued despite free slots. */
  async run(milliseconds: number): Promise<number> {
    const { hosts, slots, utilisation, workMilliseconds } = this.#options;
    const requestsPerMillisecond = (hosts * slots * utilisation) / workMilliseconds;
    const end = this.clock.now() + milliseconds;
    const sendNext = () => {
      this.#send(this.#nodes[this.#random.integerBelow(this.#nodes.length)] as SimulatedNode);
      const gapMilliseconds = -Math.log(1 - this.#random.next()) / requestsPerMillisecond;
      if (this.clock.now() + gapMilliseconds < end) this.clock.schedule(gapMilliseconds, sendNext);
    };
    this.clock.schedule(0, sendNext);
    await this.clock.advance(milliseconds);
    return this.queuedDespiteFreeSlots / this.delivered;
  }

  #createEntry(index: number): HostEntry {
    return {
      nodeId: `node-${index}`,
      peerAddress: { host: '10.0.0.1', port: index + 1 },
      location: { region: 'r', failureDomain: `d${index % 2}` },
      service: index < this.#options.hosts ? service : 'other',
      backendServerId: `b-${index}`,
      slots: this.#options.slots,
      leaving: false,
    };
  }

  #createNode(nodeId: string, location: Location, entries: readonly HostEntry[]): SimulatedNode {
    const { clock } = this;
    const serviceEntries = entries.filter((entry) => entry.service === service);
    const routeWorkEstimator = new RouteWorkEstimator();
    routeWorkEstimator.record(this.#route.name, this.#options.workMilliseconds);
    const parts: { choice?: HostChoice; loadProber?: LoadProber } = {};
    const onReport = (host: SimulatedHost, report: LoadReport) => {
      parts.choice?.loadOf(host.entry.nodeId).recordReport(report, clock.now());
      parts.loadProber?.handleReport(host.entry.nodeId);
    };
    const loadProber = new LoadProber({
      requestLoad: (peer) => {
        this.probes += 1;
        this.#answerInquiry(this.#hostOf(peer), onReport);
        return true;
      },
      clock,
    });
    const choice = new HostChoice({
      nodeId,
      location,
      directory: { ofService: () => serviceEntries } as unknown as HostDirectory,
      subset: new HostSubset(nodeId, location, () => entries),
      selector: new HostSelector(this.#random.fork()),
      loadProber,
      routeWorkEstimator,
      speed: new HostSpeedModel(),
      isReachable: () => true,
      isEvacuated: () => false,
      localLoad: () => this.#hosts.get(nodeId)?.report,
      roundTripTo: () => oneWayMilliseconds * 2,
      clock,
    });
    Object.assign(parts, { choice, loadProber });
    return { choice, onReport };
  }

  #answerInquiry(host: SimulatedHost, onReport: SimulatedNode['onReport']): void {
    this.clock.schedule(oneWayMilliseconds, () => {
      const { report } = host;
      this.clock.schedule(oneWayMilliseconds, () => onReport(host, report));
    });
  }

  async #send(node: SimulatedNode): Promise<void> {
    const candidate = await node.choice.choose(this.#createRequest(), new Set());
    if (candidate === undefined) return;
    candidate.load.recordSent();
    const host = this.#hostOf(candidate.entry.nodeId);
    this.clock.schedule(oneWayMilliseconds, () => this.#deliver(node, host));
  }

  #deliver(node: SimulatedNode, host: SimulatedHost): void {
    this.delivered += 1;
    if (host.isFull && [...this.#hosts.values()].some(({ isFull }) => !isFull)) {
      this.queuedDespiteFreeSlots += 1;
    }
    host.accept((done) => {
      const serviceMilliseconds = this.#options.workMilliseconds * (0.5 + this.#random.next());
      this.clock.schedule(serviceMilliseconds, () => {
        done();
        const { report } = host;
        this.clock.schedule(oneWayMilliseconds, () => node.onReport(host, report));
      });
    });
  }

  #hostOf(nodeId: string): SimulatedHost {
    return this.#hosts.get(nodeId) as SimulatedHost;
  }

  #createRequest(): CallerRequest {
    const now = this.clock.now();
    const { targetMilliseconds, timeoutMilliseconds } = this.#route;
    return {
      requestId: 'r',
      route: this.#route,
      service,
      method: 'GET',
      target: '/',
      headers: [],
      body: { type: 'none' },
      arrivedAt: now,
      usefulUntil: now + targetMilliseconds,
      deadline: now + timeoutMilliseconds,
      callerDeadline: now + timeoutMilliseconds,
      depth: 0,
      signal: new AbortController().signal,
    };
  }
}
