export * from './Node.js';
export * from './createNode.js';
