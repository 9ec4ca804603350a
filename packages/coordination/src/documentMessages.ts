/** State of a node's copy of the document, as sent to peers. */
export interface DocumentState {
  /** Version of the copy; 0 if the node has none. */
  readonly version: number;
  /** Time since the copy was last confirmed to be the newest; `undefined` if it never was. */
  readonly ageMilliseconds: number | undefined;
}

/** Requests the part of the compressed document that starts at `offset`, in bytes. */
export interface DocumentPartRequest {
  readonly offset: number;
}

/** A part of the compressed document. */
export interface DocumentPart {
  readonly version: number;
  /** Size of the whole compressed document, in bytes. */
  readonly totalBytes: number;
  readonly data: Buffer;
}

type Fields = Readonly<Record<string, unknown>>;

/** Parses a state; a malformed version counts as no document. */
export function parseDocumentState(body: unknown): DocumentState {
  const { ageMilliseconds, version } = asFields(body);
  return {
    version: asNonNegativeInteger(version) ?? 0,
    ageMilliseconds:
      typeof ageMilliseconds === 'number' && ageMilliseconds >= 0 ? ageMilliseconds : undefined,
  };
}

/** Parses a part request; a malformed offset counts as 0. */
export function parseDocumentPartRequest(body: unknown): DocumentPartRequest {
  return { offset: asNonNegativeInteger(asFields(body).offset) ?? 0 };
}

/** Encodes a part, with its data as base64 because channels may carry only JSON. */
export function encodeDocumentPart({ data, totalBytes, version }: DocumentPart): unknown {
  return { version, totalBytes, data: data.toString('base64') };
}

/** Parses a part; `undefined` if it is malformed. */
export function parseDocumentPart(body: unknown): DocumentPart | undefined {
  const { data, totalBytes, version } = asFields(body);
  const versionNumber = asNonNegativeInteger(version);
  const size = asNonNegativeInteger(totalBytes);
  if (versionNumber === undefined || size === undefined || typeof data !== 'string') {
    return undefined;
  }
  return { version: versionNumber, totalBytes: size, data: Buffer.from(data, 'base64') };
}

function asFields(body: unknown): Fields {
  return typeof body === 'object' && body !== null ? (body as Fields) : {};
}

function asNonNegativeInteger(value: unknown): number | undefined {
  return Number.isSafeInteger(value) && (value as number) >= 0 ? (value as number) : undefined;
}
