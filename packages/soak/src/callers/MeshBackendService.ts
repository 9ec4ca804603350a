import type {
  BackendArrival,
  BackendRun,
  BackendRunEnd,
  BackendService,
} from '@hickorybridge/stand-ins';
import type { RandomSource } from '@hickorybridge/utils';
import type { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { routes, type MeshRoute } from '../mesh/meshShape.js';
import { keyPrefix } from '../mesh/meshTenants.js';
import type { MeshHostContext } from '../mesh/MeshHost.js';
import { RequestEnd } from '../record/SoakEvent.js';
import type { SendTarget } from './RequestSender.js';

/** What the runs of one backend server need. */
export interface MeshBackendServiceOptions extends MeshHostContext {
  readonly backend: string;
  readonly service: string;
  readonly target: SendTarget;
  readonly random: RandomSource;
  readonly agent: Agent;
}

const spread = 0.3;

/** Does the work of one backend server's runs, with the calls that they make. */
export class MeshBackendService implements BackendService {
  /** Multiplies the time that work takes. */
  slowness = 1;

  readonly #options: MeshBackendServiceOptions;

  readonly #repeats = new Set<string>();

  constructor(options: MeshBackendServiceOptions) {
    this.#options = options;
  }

  arrived({ accepted, deadlineMilliseconds, headers, path, requestId }: BackendArrival): void {
    const { arrivals, backend, record, service, target } = this.#options;
    const keySeen =
      headers.authorization !== undefined || JSON.stringify([path, headers]).includes(keyPrefix);
    if (arrivals.add(requestId)) this.#repeats.add(requestId);
    record.add({
      type: 'arrived',
      id: requestId,
      backend,
      node: target.node,
      service,
      accepted,
      ...(deadlineMilliseconds === undefined ? {} : { deadlineMilliseconds }),
      ...(headers.tenant === undefined ? {} : { tenant: String(headers.tenant) }),
      ...(keySeen ? { keySeen } : {}),
    });
  }

  async run(run: BackendRun): Promise<number> {
    const start = performance.now();
    const route = routes.find(({ name }) => run.path.startsWith(`/${name}/`));
    if (route === undefined) return 404;
    const factor = 1 - spread + 2 * spread * this.#options.random.next();
    try {
      await sleep(route.workMilliseconds * factor * this.slowness, undefined, {
        signal: run.signal,
      });
    } catch {
      return 504;
    }
    const end = start + run.leftMilliseconds;
    return (await this.#makeCalls(route, run, end)) ? 200 : 500;
  }

  runEnded(requestId: string, end: BackendRunEnd): void {
    this.#options.record.add({
      type: 'run-ended',
      id: requestId,
      backend: this.#options.backend,
      end,
    });
  }

  /** Makes the calls of a run; gives whether all succeeded. */
  async #makeCalls({ calls }: MeshRoute, run: BackendRun, end: number): Promise<boolean> {
    const { agent, random, sender, target, timeouts } = this.#options;
    const route = routes.find(({ name }) => name === calls?.route);
    if (calls === undefined || route === undefined || random.next() >= calls.share) return true;
    for (let made = 0; made < calls.times && !run.signal.aborted; made += 1) {
      const left = end - performance.now();
      if (left < 1) return false;
      const {
        ended: { end: outcome, status },
      } = await sender.send({
        target,
        route,
        timeoutMilliseconds: timeouts.shortestOf(route),
        deadlineMilliseconds: Math.min(route.deadlineMilliseconds, left),
        agent,
        parent: run.requestId,
        belowRepeat: this.#repeats.has(run.requestId),
        signal: run.signal,
      });
      if (outcome !== RequestEnd.answered || status !== 200) return false;
    }
    return true;
  }
}
