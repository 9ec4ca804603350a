export * from './Measure.js';
export * from './measures.js';
