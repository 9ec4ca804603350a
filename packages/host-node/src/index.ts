export * from './HostNode.js';
export * from './createHostNode.js';
export * from './control/SettingsFile.js';
