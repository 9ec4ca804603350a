export * from './Logger.js';
export * from './createLogger.js';
export * from './taskFailureLogger.js';
