export * from './Supervisor.js';
export * from './HostSpeed.js';
export * from './clock.js';
export * from './hash.js';
export * from './probabilityWithin.js';
export * from './randomSource.js';
