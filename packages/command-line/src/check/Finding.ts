import type { FieldPath } from '@hickorybridge/platform';

/** What a check of a configuration finds; the values are those of the JSON output. */
export const FindingKind = {
  /** Nodes refuse the configuration. */
  error: 'error',
  /** Nodes use the default in place of a value of another type. */
  ignoredValue: 'ignored-value',
  /** An entry that another one hides, or that no request can match. */
  neverMatches: 'never-matches',
  contradiction: 'contradiction',
  sharedKey: 'shared-key',
  noBackendServers: 'no-backend-servers',
  /** Nodes keep the version in force. */
  version: 'version',
} as const;

export type FindingKind = (typeof FindingKind)[keyof typeof FindingKind];

/** One finding, with its place in the document. */
export interface Finding {
  readonly kind: FindingKind;
  readonly path: FieldPath;
  readonly detail: string;
}

/** Formats a place as `routes.rows[2].timeout`. */
export function formatFieldPath(path: FieldPath): string {
  return path
    .map((part, index) => {
      if (typeof part === 'number') return `[${part}]`;
      return index === 0 ? part : `.${part}`;
    })
    .join('');
}
