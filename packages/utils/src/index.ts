export * from './HostSpeedModel.js';
export * from './ListenerOpener.js';
export * from './ProcessSignals.js';
export * from './Supervisor.js';
export * from './clock.js';
export * from './hash.js';
export * from './onTimeProbability.js';
export * from './randomSource.js';
