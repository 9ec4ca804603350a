export * from './checks/Breach.js';
export { checkRun } from './checks/checkRun.js';
export { planDisturbances } from './disturbances/planDisturbances.js';
export { Profile } from './disturbances/Profile.js';
export * from './record/SoakEvent.js';
export { explainRun, runSoak } from './runSoak.js';
export type { SoakOptions, SoakReport } from './runSoak.js';
