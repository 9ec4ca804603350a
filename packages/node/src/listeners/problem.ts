import { ProblemName, type ProblemDetails } from '@hickorybridge/types';

interface ProblemForm {
  readonly status: number;
  readonly title: string;
}

const forms: Readonly<Record<ProblemName, ProblemForm>> = {
  [ProblemName.noSuchService]: { status: 404, title: 'No service has this host name' },
  [ProblemName.noSuchKind]: { status: 404, title: 'The service has no such kind of request' },
  [ProblemName.badRequest]: { status: 400, title: 'The request is malformed' },
  [ProblemName.notReady]: { status: 503, title: 'The node has no configuration yet' },
  [ProblemName.noBackendServer]: { status: 503, title: 'No backend server can take the request' },
  [ProblemName.overloaded]: { status: 503, title: 'The service is overloaded' },
  [ProblemName.deadlineExceeded]: { status: 504, title: 'The deadline has passed' },
  [ProblemName.tooDeep]: { status: 508, title: 'The chain of calls is too deep' },
  [ProblemName.connectionLost]: { status: 502, title: 'The connection was lost' },
  [ProblemName.alreadyClaimed]: { status: 409, title: 'A request with this key exists' },
  [ProblemName.idempotencyKeyReuse]: { status: 422, title: 'The key belongs to another request' },
  [ProblemName.idempotencyRecordUnavailable]: {
    status: 503,
    title: 'The record of the idempotency key cannot be consulted',
  },
};

/** Makes the problem details (RFC 9457) of a reply that the system makes itself. */
export function createProblem(name: ProblemName, detail: string): ProblemDetails {
  const { status, title } = forms[name];
  return { type: `urn:hickorybridge:problem:${name}`, title, status, detail };
}
