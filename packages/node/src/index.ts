export * from './Node.js';
export * from './Supervisor.js';
export * from './createNode.js';
