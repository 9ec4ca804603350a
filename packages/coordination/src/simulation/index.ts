export * from './SimulatedClock.js';
export * from './SimulatedNetwork.js';
export * from './SimulatedProcess.js';
export * from './SimulatedStore.js';
export * from './SimulatedTraffic.js';
