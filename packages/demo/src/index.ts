export * from './formatResult.js';
export * from './runDemo.js';
