import type { Deployment } from '@hickorybridge/configuration';
import type { SocketAddress } from '@hickorybridge/types';
import type { PortAllocator } from './PortAllocator.js';

/** One host: a backend server and the node beside it. */
export interface HostPlan {
  /** Name of the backend server, for example `catalogue-1`. */
  readonly id: string;
  /** Name of the node, for example `node-catalogue-1`. */
  readonly nodeId: string;
  readonly service: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly callers: SocketAddress;
  readonly announcements: SocketAddress;
  readonly operators: SocketAddress;
  readonly peers: SocketAddress;
  readonly backendServer: SocketAddress;
  readonly control: SocketAddress;
}

/** Which hosts to plan. */
export interface PlanOptions {
  readonly deployment: Deployment;
  readonly backendServersPerService: number;
  /** Services that get backend servers; all by default. */
  readonly services?: readonly string[] | undefined;
}

/**
 * Spreads the backend servers of each service over the failure domains, region by region in turn,
 * so that two backend servers of a service stand in two regions.
 */
export async function planHosts(
  { deployment, backendServersPerService, services }: PlanOptions,
  ports: PortAllocator,
): Promise<HostPlan[]> {
  const places = placesInTurn(deployment);
  const hosts: HostPlan[] = [];
  for (const service of deployment.services) {
    if (services !== undefined && !services.includes(service.name)) continue;
    for (let index = 0; index < backendServersPerService; index += 1) {
      const place = places[index % places.length];
      if (place === undefined) throw new Error(`${deployment.name} has no failure domain`);
      const id = `${service.name}-${index + 1}`;
      hosts.push({
        id,
        nodeId: `node-${id}`,
        service: service.name,
        ...place,
        callers: await takeAddress(ports),
        announcements: await takeAddress(ports),
        operators: await takeAddress(ports),
        peers: await takeAddress(ports),
        backendServer: await takeAddress(ports),
        control: await takeAddress(ports),
      });
    }
  }
  return hosts;
}

function placesInTurn(deployment: Deployment): { region: string; failureDomain: string }[] {
  const longest = Math.max(...deployment.regions.map((region) => region.failureDomains.length));
  return Array.from({ length: longest }, (_, index) => index).flatMap((index) =>
    deployment.regions.flatMap((region) => {
      const failureDomain = region.failureDomains[index];
      return failureDomain === undefined ? [] : [{ region: region.name, failureDomain }];
    }),
  );
}

async function takeAddress(ports: PortAllocator): Promise<SocketAddress> {
  return { host: '127.0.0.1', port: await ports.take() };
}
