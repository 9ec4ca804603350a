/** How an answer goes wrong. */
export const AnswerFault = {
  /** Sent after an additional delay. */
  late: 'late',
  /** The connection is closed after half of the body. */
  half: 'half',
  /** The request runs, but no answer is sent. */
  never: 'never',
  /** A second copy of the answer follows on the same connection. */
  doubled: 'doubled',
} as const;

export type AnswerFault = (typeof AnswerFault)[keyof typeof AnswerFault];

/** Behaviour of a stand-in backend server; changed while it runs by `PUT /control`. */
export interface BackendServerControl {
  slots: number;
  /** Connections that are accepted at the same time; further ones are closed. */
  connections: number;
  /** Median of the service time, in milliseconds. */
  serviceMilliseconds: number;
  /** Standard deviation of the logarithm of the service time. */
  serviceSpread: number;
  /** Time for which a cold start lasts, in milliseconds. */
  rampMilliseconds: number;
  /** Factor on the service time at the beginning of a cold start. */
  coldFactor: number;
  /** Factor on the service time of a straggler; 1 is normal. */
  stragglerFactor: number;
  /** Slots that a noisy neighbour takes away. */
  noisySlots: number;
  /** Share of requests that are shed, from 0 to 1. */
  shedShare: number;
  /** Requests that wait for a slot at most; further ones are shed. */
  queueLimit: number;
  /** Cost of the first request on a new connection, in milliseconds. */
  connectMilliseconds: number;
  /** Fault of the next `answerFaultCount` answers. */
  answerFault: AnswerFault;
  answerFaultCount: number;
  /** Delay of a late answer, in milliseconds. */
  lateMilliseconds: number;
}

/** A warm, undisturbed backend server. */
export const defaultControl: Readonly<BackendServerControl> = {
  slots: 8,
  connections: 250,
  serviceMilliseconds: 5,
  serviceSpread: 0.4,
  rampMilliseconds: 0,
  coldFactor: 4,
  stragglerFactor: 1,
  noisySlots: 0,
  shedShare: 0,
  queueLimit: 64,
  connectMilliseconds: 1,
  answerFault: AnswerFault.late,
  answerFaultCount: 0,
  lateMilliseconds: 500,
};
