import type { ConfigurationProblem } from './ConfigurationProblem.js';
import type { Deployment } from './Deployment.js';
import { nearestName } from './nearestName.js';
import type { NodeSettings } from './NodeSettings.js';

/** Checks that a deployment knows the region and the failure domain of a node. */
export function checkNodePlace(
  settings: NodeSettings,
  deployment: Deployment,
  settingsFile: string,
): ConfigurationProblem[] {
  const { region, failureDomain } = settings.node;
  const known = deployment.regions.find((candidate) => candidate.name === region);
  if (known === undefined) {
    const names = deployment.regions.map((candidate) => candidate.name);
    return [unknownName(settingsFile, 'region', region, names, `deployment ${deployment.name}`)];
  }
  if (known.failureDomains.includes(failureDomain)) return [];
  const names = known.failureDomains;
  return [unknownName(settingsFile, 'failureDomain', failureDomain, names, `region ${region}`)];
}

function unknownName(
  file: string,
  key: 'region' | 'failureDomain',
  value: string,
  names: readonly string[],
  owner: string,
): ConfigurationProblem {
  const nearest = nearestName(value, names);
  return {
    file,
    key: `node.${key}`,
    value: JSON.stringify(value),
    message: `${owner} has no such ${key === 'region' ? 'region' : 'failure domain'}`,
    expected:
      nearest === undefined ? `use one of ${names.join(', ')}` : `did you mean "${nearest}"?`,
  };
}
