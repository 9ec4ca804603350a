const minFinalStatus = 200;
const maxFinalStatus = 599;
const noContentStatus = 204;
const notModifiedStatus = 304;

/**
 * Whether HTTP defines a status as that of a final answer (RFC 9110, section 15). Others, such as
 * 000, 099, 600 and 101 without a request to upgrade, are never passed on.
 */
export function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= minFinalStatus && status <= maxFinalStatus;
}

/** Whether an answer with this status has no body, whatever its headers declare. */
export function isBodilessStatus(status: number): boolean {
  return status === noContentStatus || status === notModifiedStatus;
}

/**
 * Whether an answer with this status may declare a body. 304 may declare the length of the body
 * that has not changed (RFC 9110, section 8.6).
 */
export function mayDeclareBody(status: number): boolean {
  return status !== noContentStatus;
}
