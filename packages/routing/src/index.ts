export * from './BackendServerSelector.js';
export * from './HedgePolicy.js';
export * from './createRetryBudget.js';
export * from './SelectorOptions.js';
export * from './createSelector.js';
export * from './retryDecision.js';
