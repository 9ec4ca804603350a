export * from './CommandDefinition.js';
export * from './ExitCode.js';
export * from './applyDeployment.js';
export * from './commands.js';
export * from './runCommandLine.js';
