import type { BackendServerReport } from '@hickorybridge/types';

/** What a report says about the backend server of a host. */
export const ReportVerdict = {
  /** It is late, or of an incarnation that has ended. */
  outdated: 'outdated',
  /** It is the newest report of the current incarnation. */
  newest: 'newest',
  /** It comes from an incarnation that started later than the current one, if there is one. */
  newIncarnation: 'new-incarnation',
  /** It is the second in a row of an incarnation that did not count as current: that one runs. */
  takeover: 'takeover',
  /** An incarnation that was unknown until now leaves, and the current one has its id. */
  leave: 'leave',
} as const;

export type ReportVerdict = (typeof ReportVerdict)[keyof typeof ReportVerdict];

type IncarnationReport = Pick<
  BackendServerReport,
  'backendServerId' | 'draining' | 'sequence' | 'startedAt'
>;

interface Incarnation {
  readonly backendServerId: string;
  readonly startedAt: number;
  readonly key: string;
  readonly sequence: number;
  readonly leaving: boolean;
  /** Whether the notice that it leaves names another start, and so may be that of an earlier one. */
  readonly isLeaveUncertain: boolean;
}

/** Incarnations that are remembered, so that their late reports can be told from news. */
const maxKnownIncarnations = 64;

/**
 * Tells the current incarnation of a host's backend server from earlier ones, whose reports may come
 * late. An incarnation is an id and a start time, which the backend server reads from a wall clock
 * that may step back between two starts. So the start time alone decides only when it increases: an
 * unknown incarnation with an earlier one takes over after two reports in a row.
 */
export class IncarnationHistory {
  #current: Incarnation | undefined;

  /** Keys of other incarnations that were current or have announced that they leave. */
  readonly #past = new Set<string>();

  /** The last report of an incarnation that may take over, without one of the current since. */
  #contender: { readonly key: string; readonly sequence: number } | undefined;

  /** Sorts a report in; a new incarnation becomes the current one. */
  record(report: IncarnationReport): ReportVerdict {
    const { backendServerId, draining, sequence, startedAt } = report;
    const key = keyOf(backendServerId, startedAt);
    const current = this.#current;
    if (key === current?.key) return this.#recordCurrent(current, report);
    const contender = this.#contender;
    this.#contender = undefined;
    if (this.#past.has(key)) return ReportVerdict.outdated;
    if (current === undefined || startedAt >= current.startedAt) {
      this.#replace(report);
      return ReportVerdict.newIncarnation;
    }
    if (draining) {
      this.#remember(key);
      const concernsCurrent = backendServerId === current.backendServerId;
      return concernsCurrent && this.#markLeaving(current, true)
        ? ReportVerdict.leave
        : ReportVerdict.outdated;
    }
    if (contender?.key === key && sequence > contender.sequence) {
      this.#replace(report);
      return ReportVerdict.takeover;
    }
    this.#contender = { key, sequence };
    return ReportVerdict.outdated;
  }

  /**
   * Records that an incarnation leaves; `startedAt` is 0 when the notice does not name it. Returns
   * whether this concerns the current incarnation and is news.
   */
  recordLeave(backendServerId: string, startedAt: number): boolean {
    const key = keyOf(backendServerId, startedAt);
    const current = this.#current;
    if (current?.backendServerId !== backendServerId) {
      this.#remember(key);
      return false;
    }
    const isNamed = startedAt === 0 || key === current.key;
    if (!isNamed && this.#past.has(key)) return false;
    if (!isNamed) this.#remember(key);
    return this.#markLeaving(current, !isNamed);
  }

  /**
   * Records that the store knows an incarnation as leaving. Returns whether this concerns the current
   * incarnation and is news.
   */
  recordStoredLeave(backendServerId: string, startedAt: number): boolean {
    const current = this.#current;
    if (current?.backendServerId !== backendServerId || startedAt < current.startedAt) return false;
    if (this.#past.has(keyOf(backendServerId, startedAt))) return false;
    return this.#markLeaving(current, current.isLeaveUncertain);
  }

  /** Whether an incarnation is known to have ended, or to leave without having been current. */
  hasEnded(backendServerId: string, startedAt: number): boolean {
    return this.#past.has(keyOf(backendServerId, startedAt));
  }

  /** Records that the current incarnation has ended, as another one answers at its address. */
  recordEnd(): void {
    if (this.#current !== undefined) this.#remember(this.#current.key);
    this.#current = undefined;
  }

  #recordCurrent(current: Incarnation, { draining, sequence }: IncarnationReport): ReportVerdict {
    if (sequence <= current.sequence) return ReportVerdict.outdated;
    const isUncertain = current.isLeaveUncertain && !draining;
    const isSecondInRow = isUncertain && this.#contender?.key === current.key;
    this.#contender = isUncertain && !isSecondInRow ? { key: current.key, sequence } : undefined;
    this.#current = {
      ...current,
      sequence,
      leaving: current.leaving && !isSecondInRow,
      isLeaveUncertain: isUncertain && !isSecondInRow,
    };
    return isSecondInRow ? ReportVerdict.takeover : ReportVerdict.newest;
  }

  #replace({ backendServerId, draining, sequence, startedAt }: IncarnationReport): void {
    this.recordEnd();
    this.#current = {
      backendServerId,
      startedAt,
      key: keyOf(backendServerId, startedAt),
      sequence,
      leaving: draining,
      isLeaveUncertain: false,
    };
  }

  /** Returns whether the current incarnation did not count as leaving before. */
  #markLeaving(current: Incarnation, isUncertain: boolean): boolean {
    this.#contender = undefined;
    this.#current = {
      ...current,
      leaving: true,
      isLeaveUncertain: isUncertain && (current.isLeaveUncertain || !current.leaving),
    };
    return !current.leaving;
  }

  #remember(key: string): void {
    this.#past.delete(key);
    this.#past.add(key);
    const [oldest] = this.#past;
    if (this.#past.size > maxKnownIncarnations && oldest !== undefined) this.#past.delete(oldest);
  }
}

function keyOf(backendServerId: string, startedAt: number): string {
  return `${startedAt} ${backendServerId}`;
}
