/** Sizes of a deployment's backend servers and of the link between its regions. */
export interface ClusterProfile {
  readonly slots: number;
  readonly connections: number;
  /** Median service time of its backend servers, in milliseconds. */
  readonly serviceMilliseconds: number;
  readonly backendServersPerService: number;
  readonly link: { readonly delayMilliseconds: number; readonly megabitsPerSecond: number };
}

/** The sizes of section 1.1 of the design page. Service times are an assumption. */
const profiles: Readonly<Record<string, ClusterProfile>> = {
  litoteca: {
    slots: 13,
    connections: 260,
    serviceMilliseconds: 100,
    backendServersPerService: 4,
    link: { delayMilliseconds: 30, megabitsPerSecond: 30 },
  },
  derwent: {
    slots: 6,
    connections: 240,
    serviceMilliseconds: 60,
    backendServersPerService: 4,
    link: { delayMilliseconds: 30, megabitsPerSecond: 30 },
  },
};

/** Gives the sizes for a deployment by its name. */
export function profileOf(deploymentName: string): ClusterProfile {
  const profile = profiles[deploymentName];
  if (profile !== undefined) return profile;
  const known = Object.keys(profiles).join(', ');
  throw new Error(`choosing the sizes of deployment ${deploymentName}: expected one of ${known}`);
}
