export { answerBody } from './backendServer/answer.js';
export * from './backendServer/control.js';
export * from './backendServer/run.js';
export * from './backendServer/StandInBackendServer.js';
export { closeHttp, listenHttp, readJson, sendJson, urlOf } from './httpListener.js';
export type { DirectionSettings } from './link/Direction.js';
export * from './link/LinkRelay.js';
export * from './store/StandInStore.js';
