import type { Deployment } from '@hickorybridge/configuration';
import type { z } from 'zod';
import { profileOf } from '../cluster/clusterProfile.js';
import type { expectationsSchema } from '../check/expectations.js';
import type { TraceEntry } from '../trace/traceEntry.js';
import { TrafficSource } from './TrafficSource.js';

/** A trace before it is written to its files. */
export interface ScenarioSource {
  readonly name: string;
  readonly title: string;
  readonly point: number | 'workload';
  readonly faults: string;
  readonly seed: number;
  readonly entries: readonly TraceEntry[];
  readonly expect: z.input<typeof expectationsSchema>;
}

/** What the scenarios of a deployment are made from. */
export interface ScenarioContext {
  readonly deployment: Deployment;
  readonly traffic: TrafficSource;
  /** Names of the services, in the order of the deployment file. */
  readonly services: readonly string[];
  /** Service that most scenarios disturb; its backend servers are `NAME-1` and so on. */
  readonly busiest: string;
  /** Requests a second that one service serves at full load. */
  readonly capacity: number;
  /** Requests a second on a quiet day, over all services. */
  readonly quiet: number;
  /** 99th percentile of the service time, in milliseconds. */
  readonly serviceP99: number;
}

const millisecondsPerSecond = 1_000;

/** Quiet load as a share of the capacity of one service. */
const quietShare = 0.2;

/** Mean and 99th percentile of the stand-ins' service time, as factors of the median. */
const meanFactor = 1.08;
const p99Factor = 2.54;

/** Makes the context of a deployment's scenarios from a seed. */
export function makeContext(deployment: Deployment, seed: number): ScenarioContext {
  const profile = profileOf(deployment.name);
  const services = deployment.services.map((service) => service.name);
  const slots = profile.slots * profile.backendServersPerService;
  const capacity = (slots * millisecondsPerSecond) / (profile.serviceMilliseconds * meanFactor);
  return {
    deployment,
    traffic: new TrafficSource(deployment, seed),
    services,
    busiest: services[0] ?? '',
    capacity,
    quiet: capacity * quietShare,
    serviceP99: profile.serviceMilliseconds * p99Factor,
  };
}

/** Gives every idempotent kind that a service has the same limit of the 99th percentile. */
export function p99Limits(
  context: ScenarioContext,
  limitMilliseconds: number,
  services: readonly string[] = context.services,
): Record<string, number> {
  const kinds = context.deployment.services
    .filter((service) => services.includes(service.name))
    .flatMap((service) => service.kinds.filter((kind) => kind.idempotent));
  return Object.fromEntries(kinds.map((kind) => [kind.name, Math.round(limitMilliseconds)]));
}
