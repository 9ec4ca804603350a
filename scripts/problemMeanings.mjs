/** What each problem type means, for the reference page. */
export const problemMeanings = {
  'no-such-service': {
    outcome: 'not-run',
    meaning: 'The host name belongs to no service of the deployment.',
    advice: 'Correct the Host header.',
  },
  'no-such-kind': {
    outcome: 'not-run',
    meaning: 'The service has no kind with this method and path.',
    advice: 'Correct the method or path.',
  },
  'bad-request': {
    outcome: 'not-run',
    meaning: 'A header for the system is malformed, or the body did not arrive completely.',
    advice: 'Correct the request.',
  },
  'not-ready': {
    outcome: 'not-run',
    meaning: 'The node has not learnt a deployment since it started.',
    advice: 'Send it to another node.',
  },
  'no-backend-server': {
    outcome: 'not-run, or unknown after a try that may have run',
    meaning: 'No backend server of the service is announced and up by verdict.',
    advice: 'After not-run, repeat it later.',
  },
  overloaded: {
    outcome: 'not-run',
    meaning: 'Every try was refused before it ran, and no further try is permitted.',
    advice: 'Repeat it later.',
  },
  'deadline-exceeded': {
    outcome: 'not-run, or unknown when it may have run',
    meaning: 'The deadline of the kind, or a shorter one of the caller, has passed.',
    advice: 'After not-run, repeat it.',
  },
  'too-deep': {
    outcome: 'not-run',
    meaning: 'The chain of calls has more than 32 levels.',
    advice: 'Look for a loop of calls.',
  },
  'connection-lost': {
    outcome: 'unknown, or not-run when it was cancelled before it was sent',
    meaning: 'A connection broke after the request was sent.',
    advice: 'Repeat it with the same Idempotency-Key, or find out at the service.',
  },
  'already-claimed': {
    outcome: 'unknown',
    meaning:
      'Another attempt holds the key: it may be running, or it ran and its answer is not kept (over 16 KB).',
    advice: 'Repeat it later with the same key to get the stored answer.',
  },
  'idempotency-key-reuse': {
    outcome: 'not-run',
    meaning:
      'The key was used for a request of another kind, method, target or body; a body over 64 KB or without a length is not compared.',
    advice: 'Use a new key for a new request.',
  },
  'idempotency-record-unavailable': {
    outcome: 'unknown',
    meaning: 'This attempt did not run, but an earlier one with the key may have.',
    advice: 'Repeat it later with the same key.',
  },
};
