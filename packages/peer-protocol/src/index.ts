export * from './AnswerBody.js';
export * from './PeerConnection.js';
export * from './PeerPool.js';
export * from './PeerTraffic.js';
export * from './RequestExecutor.js';
export * from './frame.js';
export * from './frameCodec.js';
export { type LocalEndpoint } from './handshake.js';
export { type PeerIntroduction } from './performHandshake.js';
