export * from './HttpPlatformStore.js';
export * from './PlatformStore.js';
