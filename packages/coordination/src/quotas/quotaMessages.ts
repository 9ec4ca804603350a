/** Name of the control call by which a node asks a broker for tokens. */
export const quotaTokensCall = 'quota-tokens';

/** Asks for tokens of a tenant. */
export interface QuotaTokensRequest {
  readonly tenant: string;
  readonly count: number;
}

/** What a broker grants. */
export interface QuotaTokensReply {
  /** False if this node is no broker of the tenant, or does not know it yet. */
  readonly active: boolean;
  readonly granted: number;
  /** Time until the next token; 0 if there are more. */
  readonly waitMilliseconds: number;
}

type Fields = Readonly<Record<string, unknown>>;

/** No reasonable node needs more at once; the bucket limits what is granted in any case. */
const maxCount = 100_000;
/** Longest wait that a broker states. */
export const maxWaitMilliseconds = 60_000;

/** Parses a request; `undefined` if it is malformed. */
export function parseQuotaTokensRequest(body: unknown): QuotaTokensRequest | undefined {
  const { count, tenant } = asFields(body);
  const number = asCount(count);
  return typeof tenant === 'string' && number !== undefined ? { tenant, count: number } : undefined;
}

/** Parses a reply; `undefined` if it is malformed. */
export function parseQuotaTokensReply(body: unknown): QuotaTokensReply | undefined {
  const { active, granted, waitMilliseconds } = asFields(body);
  const number = asCount(granted);
  if (typeof active !== 'boolean' || number === undefined) return undefined;
  if (typeof waitMilliseconds !== 'number' || !(waitMilliseconds >= 0)) return undefined;
  const wait = Math.min(maxWaitMilliseconds, waitMilliseconds);
  return { active, granted: number, waitMilliseconds: wait };
}

function asFields(body: unknown): Fields {
  return typeof body === 'object' && body !== null ? (body as Fields) : {};
}

function asCount(value: unknown): number | undefined {
  return Number.isSafeInteger(value) && (value as number) >= 0
    ? Math.min(maxCount, value as number)
    : undefined;
}
