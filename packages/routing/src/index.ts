export * from './BackendServerSelector.js';
