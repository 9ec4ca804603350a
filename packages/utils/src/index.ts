export * from './StallDetector.js';
export * from './Supervisor.js';
export * from './HostSpeedModel.js';
export * from './clock.js';
export * from './hash.js';
export * from './onTimeProbability.js';
export * from './randomSource.js';
