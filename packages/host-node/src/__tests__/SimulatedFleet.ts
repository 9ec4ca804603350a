import { SimulatedClock } from '@hickorybridge/coordination';
import type { HostDirectory } from '@hickorybridge/membership';
import { HostSelector, HostSubset, RouteWorkEstimator } from '@hickorybridge/routing';
import type { HostEntry, LoadReport, Location, Route } from '@hickorybridge/types';
import { HostSpeedModel, RandomSource } from '@hickorybridge/utils';

import type { CallerRequest } from '../routing/CallerRequest.js';
import { HostChoice } from '../routing/HostChoice.js';
import { LoadProber } from '../routing/LoadProber.js';
import { SimulatedHost } from './SimulatedHost.js';

/** A fleet of one region whose nodes send requests to the hosts of one service. */
export interface SimulatedFleetOptions {
  readonly hosts: number;
  /** Nodes that send; the first ones stand beside the hosts of the service. */
  readonly nodes: number;
  readonly slots: number;
  readonly workMilliseconds: number;
  /** Share of all slots that the requests need. */
  readonly utilisation: number;
  readonly seed: number;
}

const service = 'desk';
const oneWayMilliseconds = 1;

/** A node that sends requests. */
export interface SimulatedNode {
  readonly choice: HostChoice;
  readonly told: (host: SimulatedHost, report: LoadReport) => void;
}

/** Plays requests against hosts with the product's choice of hosts, in simulated time. */
export class SimulatedFleet {
  readonly clock = new SimulatedClock();

  /** Requests that were sent, and those that had to wait while another host had a free slot. */
  sent = 0;

  waitedBesideFreeSlots = 0;

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
    const entries = Array.from({ length: options.nodes }, (_, index) => this.#entryOf(index));
    for (const entry of entries.slice(0, options.hosts)) {
      this.#hosts.set(entry.nodeId, new SimulatedHost(entry, options.workMilliseconds));
    }
    for (const { location, nodeId } of entries) {
      this.#nodes.push(this.#createNode(nodeId, location, entries));
    }
  }

  /** Sends requests for some time and gives the share that waited beside free slots. */
  async play(milliseconds: number): Promise<number> {
    const { hosts, slots, utilisation, workMilliseconds } = this.#options;
    const perMillisecond = (hosts * slots * utilisation) / workMilliseconds;
    const end = this.clock.now() + milliseconds;
    const arrive = () => {
      this.#send(this.#nodes[this.#random.integerBelow(this.#nodes.length)] as SimulatedNode);
      const gap = -Math.log(1 - this.#random.next()) / perMillisecond;
      if (this.clock.now() + gap < end) this.clock.schedule(gap, arrive);
    };
    this.clock.schedule(0, arrive);
    await this.clock.advance(milliseconds);
    return this.waitedBesideFreeSlots / this.sent;
  }

  #entryOf(index: number): HostEntry {
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
    const ofService = entries.filter((entry) => entry.service === service);
    const routeTimes = new RouteWorkEstimator();
    routeTimes.record(this.#route.name, this.#options.workMilliseconds);
    const parts: { choice?: HostChoice; inquiry?: LoadProber } = {};
    const told = (host: SimulatedHost, report: LoadReport) => {
      parts.choice?.loadOf(host.entry.nodeId).recordReport(report, clock.now());
      parts.inquiry?.handleReport(host.entry.nodeId);
    };
    const inquiry = new LoadProber({
      requestLoad: (peer) => {
        this.#answerInquiry(this.#hostOf(peer), told);
        return true;
      },
      clock,
    });
    const choice = new HostChoice({
      nodeId,
      location,
      directory: { ofService: () => ofService } as unknown as HostDirectory,
      subset: new HostSubset(nodeId, location, () => entries),
      selector: new HostSelector(this.#random.fork()),
      loadProber: inquiry,
      routeTimes,
      speed: new HostSpeedModel(),
      isReachable: () => true,
      localLoad: () => this.#hosts.get(nodeId)?.report,
      roundTripTo: () => oneWayMilliseconds * 2,
      clock,
    });
    Object.assign(parts, { choice, inquiry });
    return { choice, told };
  }

  #answerInquiry(host: SimulatedHost, told: SimulatedNode['told']): void {
    this.clock.schedule(oneWayMilliseconds, () => {
      const { report } = host;
      this.clock.schedule(oneWayMilliseconds, () => told(host, report));
    });
  }

  async #send(node: SimulatedNode): Promise<void> {
    const candidate = await node.choice.choose(this.#createRequest(), new Set());
    if (candidate === undefined) return;
    candidate.load.recordSent();
    const host = this.#hostOf(candidate.entry.nodeId);
    this.clock.schedule(oneWayMilliseconds, () => this.#arrive(node, host));
  }

  #arrive(node: SimulatedNode, host: SimulatedHost): void {
    this.sent += 1;
    if (host.isFull && [...this.#hosts.values()].some(({ isFull }) => !isFull)) {
      this.waitedBesideFreeSlots += 1;
    }
    host.take((done) => {
      const work = this.#options.workMilliseconds * (0.5 + this.#random.next());
      this.clock.schedule(work, () => {
        done();
        const { report } = host;
        this.clock.schedule(oneWayMilliseconds, () => node.told(host, report));
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
