import type { ConfigurationProblem } from './ConfigurationProblem.js';
import type { Deployment } from './Deployment.js';
import type { KeyLines } from './KeyLines.js';
import type { KeyPath } from './keyPath.js';
import { formatKeyPath, valueAt } from './keyPath.js';
import { patternShape } from './pathPattern.js';

/** Remembers where each name was used first, to report a second use. */
class FirstUses {
  readonly #paths = new Map<string, string>();

  /** Gives the path of an earlier use of the name, or records this one. */
  earlierUse(name: string, path: KeyPath): string | undefined {
    const earlier = this.#paths.get(name);
    if (earlier === undefined) this.#paths.set(name, formatKeyPath(path));
    return earlier;
  }
}

type Report = (path: KeyPath, message: string, expected: string) => void;

const safeMethods: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

/** Checks what the schema cannot: rules over several keys of a deployment. */
export function checkDeployment(
  deployment: Deployment,
  file: string,
  keyLines: KeyLines,
): ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  const report: Report = (path, message, expected) => {
    const value = valueAt(deployment, path);
    problems.push({
      file,
      key: formatKeyPath(path),
      line: keyLines.find(path),
      value: value === undefined ? undefined : JSON.stringify(value),
      message,
      expected,
    });
  };
  checkRegions(deployment, report);
  checkServices(deployment, report);
  checkKinds(deployment, report);
  checkMeasuring(deployment, report);
  return problems;
}

function checkRegions(deployment: Deployment, report: Report): void {
  const regions = new FirstUses();
  const domains = new FirstUses();
  deployment.regions.forEach((region, index) => {
    checkUnique(regions, region.name, ['regions', index, 'name'], 'region', report);
    region.failureDomains.forEach((domain, position) => {
      const path = ['regions', index, 'failureDomains', position];
      checkUnique(domains, domain, path, 'failure domain', report);
    });
  });
}

function checkServices(deployment: Deployment, report: Report): void {
  const services = new FirstUses();
  const hosts = new FirstUses();
  deployment.services.forEach((service, index) => {
    checkUnique(services, service.name, ['services', index, 'name'], 'service', report);
    service.hosts.forEach((host, position) => {
      checkUnique(hosts, host, ['services', index, 'hosts', position], 'host name', report);
    });
  });
}

function checkKinds(deployment: Deployment, report: Report): void {
  deployment.services.forEach((service, index) => {
    const names = new FirstUses();
    const shapes = new FirstUses();
    service.kinds.forEach((kind, position) => {
      const path = ['services', index, 'kinds', position];
      checkUnique(names, kind.name, [...path, 'name'], 'kind', report);
      const shape = `${kind.method} ${patternShape(kind.path)}`;
      const earlier = shapes.earlierUse(shape, path);
      if (earlier !== undefined) {
        report(
          [...path, 'path'],
          `the kind never matches, because ${earlier} has the same method and the same pattern`,
          'use another method or path, or remove one of the two kinds',
        );
      }
      if (!kind.idempotent && safeMethods.includes(kind.method)) {
        report(
          [...path, 'idempotent'],
          `a request with method ${kind.method} is safe by definition (RFC 9110) and may be repeated by any HTTP client`,
          'set idempotent = true, or use POST for a request that must not run twice',
        );
      }
    });
  });
}

function checkMeasuring(deployment: Deployment, report: Report): void {
  const { measuring } = deployment;
  if (measuring.linkBytesPerSecond > measuring.regionBytesPerSecond) {
    report(
      ['measuring', 'linkBytesPerSecond'],
      `the budget of the link is greater than that of a region (${measuring.regionBytesPerSecond})`,
      'use at most the value of measuring.regionBytesPerSecond, which counts the link as well',
    );
  }
}

function checkUnique(
  uses: FirstUses,
  name: string,
  path: KeyPath,
  what: string,
  report: Report,
): void {
  const earlier = uses.earlierUse(name, path);
  if (earlier === undefined) return;
  report(path, `the ${what} is already used by ${earlier}`, `use each ${what} once`);
}
