import { meshBounds, type MeshBounds } from '../mesh/meshShape.js';
import type { SoakEvent } from '../record/SoakEvent.js';
import type { CheckResult } from './Breach.js';
import { findDisruptions } from './disruptions.js';
import { findBudgetBreaches } from './findBudgetBreaches.js';
import { findFaults } from './findFaults.js';
import { findKeyBreaches } from './findKeyBreaches.js';
import { findLost } from './findLost.js';
import { findQuotaBreaches } from './findQuotaBreaches.js';
import { findUnfairShares } from './findUnfairShares.js';
import { indexRun } from './RunIndex.js';

/** Checks the events of a run against all rules. Breaches come in order of time. */
export function checkRun(
  events: readonly SoakEvent[],
  bounds: MeshBounds = meshBounds,
): CheckResult {
  const index = indexRun(events);
  const disruptions = findDisruptions(index);
  const results = [
    findFaults(index, disruptions, bounds),
    findLost(index, disruptions, bounds),
    findBudgetBreaches(index, disruptions, bounds),
    findQuotaBreaches(index),
    findKeyBreaches(index, disruptions),
    findUnfairShares(index),
  ];
  return {
    breaches: results
      .flatMap(({ breaches }) => breaches)
      .sort((first, second) => first.at - second.at),
    counts: Object.assign({}, ...results.map(({ counts }) => counts)) as Record<string, number>,
  };
}
