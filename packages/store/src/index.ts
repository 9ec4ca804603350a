export * from './HttpPlatformStore.js';
export * from './PlatformStore.js';
export * from './storeVersion.js';
