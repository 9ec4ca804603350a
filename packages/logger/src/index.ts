export * from './Logger.js';
export * from './createLogger.js';
export * from './logTaskFailure.js';
