export * from './Logger.js';
export * from './createLogger.js';
