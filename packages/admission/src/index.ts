export * from './AdmissionController.js';
export * from './createAdmissionController.js';
export type { AdaptiveAdmissionSettings } from './LimitedAdmission.js';
export type { OccupancySummary } from './Occupancy.js';
export * from './SlotAdmission.js';
