export * from './Logger.js';
