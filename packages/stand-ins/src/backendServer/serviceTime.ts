import { hashString } from '@hickorybridge/utils';
import type { BackendServerControl } from './control.js';

const hashRange = 2 ** 32;

/**
 * Gives the service time of a request in milliseconds, log-normally distributed. It depends only
 * on the seed and the name of the work, so each policy meets the same work when a trace is
 * repeated.
 */
export function drawServiceTime(control: BackendServerControl, seed: number, work: string): number {
  const radius = Math.sqrt(-2 * Math.log(uniform(`${seed}/radius/${work}`)));
  const normal = radius * Math.cos(2 * Math.PI * uniform(`${seed}/angle/${work}`));
  return control.serviceMilliseconds * Math.exp(control.serviceSpread * normal);
}

/** Gives the factor on the service time `elapsed` milliseconds after a cold start. */
export function coldStartFactor(control: BackendServerControl, elapsed: number): number {
  if (elapsed >= control.rampMilliseconds) return 1;
  const remaining = 1 - elapsed / control.rampMilliseconds;
  return 1 + (control.coldFactor - 1) * remaining;
}

function uniform(text: string): number {
  return (hashString(text) + 1) / (hashRange + 1);
}
