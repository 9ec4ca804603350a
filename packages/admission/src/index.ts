export * from './AdmissionController.js';
export * from './ColdRateLimiter.js';
export * from './createAdaptiveAdmissionController.js';
export type { AdaptiveAdmissionSettings } from './AdaptiveAdmissionController.js';
export type { OccupancySummary } from './OccupancyMeter.js';
export type { RefusalSummary } from './RefusalMeter.js';
export * from './SlotAdmissionController.js';
