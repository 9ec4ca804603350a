export * from './PlatformStore.js';
