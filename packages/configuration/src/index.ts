export * from './Deployment.js';
export * from './NodeSettings.js';
