import { match } from 'ts-pattern';
import { AdaptiveSelector } from './AdaptiveSelector.js';
import type { BackendServerSelector } from './BackendServerSelector.js';
import { LeastOutstandingSelector } from './LeastOutstandingSelector.js';
import { RandomSelector } from './RandomSelector.js';
import { RoundRobinSelector } from './RoundRobinSelector.js';
import type { SelectorOptions } from './SelectorOptions.js';
import { TwoChoicesSelector } from './TwoChoicesSelector.js';

/** Creates the selector for the policy named in the settings. */
export function createSelector(options: SelectorOptions): BackendServerSelector {
  return match(options.settings.policy)
    .with('adaptive', () => new AdaptiveSelector(options))
    .with('random', () => new RandomSelector(options))
    .with('round-robin', () => new RoundRobinSelector(options))
    .with('least-outstanding', () => new LeastOutstandingSelector(options))
    .with('two-choices', () => new TwoChoicesSelector(options))
    .exhaustive();
}
