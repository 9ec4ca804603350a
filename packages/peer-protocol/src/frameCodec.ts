import {
  fail,
  isFinalStatus,
  succeed,
  type AnswerHead,
  type LoadReport,
  type RefusalReason,
  type RequestHead,
  type Result,
} from '@hickorybridge/types';
import { Encoder, setSizeLimits } from 'cbor-x';

import { BodyMode, FrameType, type AnswerFrame, type Frame, type OpenFrame } from './frame.js';
import { WireReader } from './WireReader.js';

/** Bytes of the length in front of each frame. */
export const lengthPrefixBytes = 4;

const maxCborItems = 65_536;

// A frame of a few bytes can declare an array of billions of items; the decoder must not reserve it.
setSizeLimits({
  maxArraySize: maxCborItems,
  maxMapSize: maxCborItems,
  maxObjectSize: maxCborItems,
});

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** Why the payload of a frame could not be used. */
export interface MalformedFrame {
  readonly type: 'malformed-frame';
  readonly detail: string;
}

let loadRequest: Buffer | undefined;

/** Encodes a frame with its length prefix. The buffer must not be changed. */
export function encodeFrame(frame: Frame): Buffer {
  if (frame.type !== FrameType.loadRequest) return encode(frame);
  // This frame has no fields and is sent more often than any other.
  loadRequest ??= encode(frame);
  return loadRequest;
}

function encode(frame: Frame): Buffer {
  const payload = encoder.encode(toWire(frame));
  const buffer = Buffer.allocUnsafe(lengthPrefixBytes + payload.length);
  buffer.writeUInt32BE(payload.length, 0);
  payload.copy(buffer, lengthPrefixBytes);
  return buffer;
}

/** Decodes the payload of a frame. Fields after the known ones are ignored. */
export function decodeFrame(payload: Buffer): Result<Frame, MalformedFrame> {
  try {
    const wire: unknown = encoder.decode(payload);
    if (!Array.isArray(wire)) return malformed('the payload is not an array');
    return succeed(fromWire(new WireReader(wire)));
  } catch (error) {
    return malformed(error instanceof Error ? error.message : String(error));
  }
}

function malformed(detail: string): Result<Frame, MalformedFrame> {
  return fail({ type: 'malformed-frame', detail });
}

function toWire(frame: Frame): unknown[] {
  // A plain switch: this runs for every frame on the request path.
  switch (frame.type) {
    case FrameType.hello:
      return [
        frame.type,
        frame.version,
        frame.oldestVersion,
        frame.identity.nodeId,
        frame.identity.incarnation,
        frame.location.region,
        frame.location.failureDomain,
        frame.deploymentNumber,
        frame.nonce,
        frame.clock,
        frame.proof,
      ];
    case FrameType.proof:
      return [frame.type, frame.proof, frame.clock];
    case FrameType.rejection:
      return [frame.type, frame.reason];
    case FrameType.open:
      return openToWire(frame);
    case FrameType.body:
      return [frame.type, frame.stream, frame.data, frame.end];
    case FrameType.credit:
      return [frame.type, frame.stream, frame.bytes];
    case FrameType.answer:
      return answerToWire(frame);
    case FrameType.refuse:
      return [frame.type, frame.stream, frame.reason, reportToWire(frame.report)];
    case FrameType.abort:
      return [frame.type, frame.stream, frame.detail, frame.deadlinePassed];
    case FrameType.cancel:
      return [frame.type, frame.stream];
    case FrameType.heartbeat:
      return [frame.type, frame.clock];
    case FrameType.heartbeatReply:
      return [frame.type, frame.echoedClock, frame.clock];
    case FrameType.call:
      return [frame.type, frame.call, frame.name, frame.body];
    case FrameType.reply:
      return [frame.type, frame.call, frame.error ?? null, frame.body];
    case FrameType.load:
      return [frame.type, reportToWire(frame.report)];
    case FrameType.loadRequest:
      return [frame.type];
    // no default: the compiler checks that every type is handled
  }
}

function openToWire({ body, bodyMode, clock, head, stream, type }: OpenFrame): unknown[] {
  const fields: unknown[] = [
    type,
    stream,
    headToWire(head),
    bodyMode,
    body ?? null,
    clock ?? null,
    head.isRepeat === true,
  ];
  const { isHedge = false, tenant, tenantPriority } = head;
  // Deployments without tenants and without a limit on hedges have no such fields.
  if (tenant !== undefined || isHedge) fields.push(tenant ?? null, tenantPriority ?? null);
  if (isHedge) fields.push(true);
  return fields;
}

function answerToWire({ body, head, report, stream, type }: AnswerFrame): unknown[] {
  const { contentLength, endsWithConnection = false, headers, status } = head;
  const fields = [
    type,
    stream,
    status,
    headers,
    reportToWire(report),
    body ?? null,
    endsWithConnection,
  ];
  // Most answers are small and have no such field.
  if (contentLength !== undefined) fields.push(contentLength);
  return fields;
}

function headToWire(head: RequestHead): unknown[] {
  return [
    head.requestId,
    head.service,
    head.backendServerId,
    head.incarnation,
    head.kind,
    head.idempotent,
    head.weight,
    head.method,
    head.target,
    head.headers,
    head.deadline,
    head.depth,
    head.attempts,
    head.traceparent ?? null,
    head.usefulUntil ?? null,
    head.expectedWorkMilliseconds ?? null,
  ];
}

function reportToWire(report: LoadReport | undefined): unknown[] | null {
  if (report === undefined) return null;
  return [
    report.limit,
    report.inFlight,
    report.queued,
    report.serviceMilliseconds,
    report.rampShare,
    report.workFactor ?? null,
    report.workMilliseconds ?? null,
    report.reserved ?? null,
    report.slowness ?? null,
  ];
}

function fromWire(reader: WireReader): Frame {
  const type = reader.count();
  switch (type) {
    case FrameType.hello:
      return {
        type,
        version: reader.count(),
        oldestVersion: reader.count(),
        identity: { nodeId: reader.string(), incarnation: reader.count() },
        location: { region: reader.string(), failureDomain: reader.string() },
        deploymentNumber: reader.count(),
        nonce: reader.bytes(),
        clock: reader.number(),
        proof: reader.bytes(),
      };
    case FrameType.proof:
      return { type, proof: reader.bytes(), clock: reader.number() };
    case FrameType.rejection:
      return { type, reason: reader.string() };
    case FrameType.open:
      return openFromWire(reader);
    case FrameType.body:
      return { type, stream: reader.count(), data: reader.bytes(), end: reader.boolean() };
    case FrameType.credit:
      return { type, stream: reader.count(), bytes: reader.count() };
    case FrameType.answer:
      return answerFromWire(reader);
    case FrameType.refuse:
      return {
        type,
        stream: reader.count(),
        reason: reader.string() as RefusalReason,
        report: reportFromWire(reader.nested()),
      };
    case FrameType.abort:
      return {
        type,
        stream: reader.count(),
        detail: reader.string(),
        // Version 1 of the protocol has no such field.
        deadlinePassed: reader.any() === true,
      };
    case FrameType.cancel:
      return { type, stream: reader.count() };
    case FrameType.heartbeat:
      return { type, clock: reader.number() };
    case FrameType.heartbeatReply:
      return { type, echoedClock: reader.number(), clock: reader.number() };
    case FrameType.call:
      return { type, call: reader.count(), name: reader.string(), body: reader.any() };
    case FrameType.reply:
      return { type, call: reader.count(), error: reader.optionalString(), body: reader.any() };
    case FrameType.load:
      return { type, report: requiredReport(reader) };
    case FrameType.loadRequest:
      return { type };
    default:
      throw new TypeError(`frame type ${type} is not known`);
  }
}

function answerFromWire(reader: WireReader): AnswerFrame {
  const stream = reader.count();
  const head = { status: statusFrom(reader.count()), headers: reader.headerList() };
  const report = requiredReport(reader);
  const body = reader.optionalBytes();
  const framing = framingFrom(reader);
  return {
    type: FrameType.answer,
    stream,
    head: framing === undefined ? head : { ...head, ...framing },
    report,
    body,
  };
}

/** How the end of a body is told, unless it is whole or in chunks. */
function framingFrom(reader: WireReader): Partial<AnswerHead> | undefined {
  // Versions before 3 of the protocol have no such field.
  const endsWithConnection = reader.any() === true;
  // Versions before 5 of the protocol have no such field.
  const contentLength = reader.optionalCount();
  if (contentLength !== undefined) return { contentLength };
  return endsWithConnection ? { endsWithConnection } : undefined;
}

function openFromWire(reader: WireReader): Frame {
  const stream = reader.count();
  const head = reader.nested();
  if (head === undefined) throw new TypeError('an open frame has no request head');
  const bodyMode = reader.count();
  if (bodyMode !== BodyMode.none && bodyMode !== BodyMode.inline && bodyMode !== BodyMode.stream) {
    throw new TypeError(`body mode ${bodyMode} is not known`);
  }
  const inline = reader.optionalBytes();
  if (bodyMode === BodyMode.inline && inline === undefined) {
    throw new TypeError('an open frame has no inline body');
  }
  const body = bodyMode === BodyMode.inline ? inline : undefined;
  const clock = reader.optionalNumber();
  const isRepeat = reader.optionalFlag();
  const tenant = reader.optionalString();
  const tenantPriority = reader.optionalNumber();
  const isHedge = reader.optionalFlag();
  return {
    type: FrameType.open,
    stream,
    head: {
      ...headFromWire(head),
      ...(isRepeat ? { isRepeat } : {}),
      ...(isHedge ? { isHedge } : {}),
      ...(tenant === undefined ? {} : { tenant }),
      ...(tenantPriority === undefined ? {} : { tenantPriority }),
    },
    bodyMode,
    body,
    clock,
  };
}

function headFromWire(reader: WireReader): RequestHead {
  return {
    requestId: reader.string(),
    service: reader.string(),
    backendServerId: reader.string(),
    incarnation: reader.count(),
    kind: reader.string(),
    idempotent: reader.boolean(),
    weight: reader.number(),
    method: reader.string(),
    target: reader.string(),
    headers: reader.headerList(),
    deadline: reader.number(),
    depth: reader.count(),
    attempts: reader.count(),
    traceparent: reader.optionalString(),
    // Versions before 3 of the protocol have no such field.
    usefulUntil: reader.optionalNumber(),
    expectedWorkMilliseconds: reader.optionalNumber(),
  };
}

function statusFrom(status: number): number {
  if (isFinalStatus(status)) return status;
  throw new TypeError(`status ${status} is not a final HTTP status`);
}

function requiredReport(reader: WireReader): LoadReport {
  const report = reportFromWire(reader.nested());
  if (report === undefined) throw new TypeError('the frame has no load report');
  return report;
}

function reportFromWire(reader: WireReader | undefined): LoadReport | undefined {
  if (reader === undefined) return undefined;
  const report = {
    limit: reader.number(),
    inFlight: reader.number(),
    queued: reader.number(),
    serviceMilliseconds: reader.number(),
    rampShare: reader.number(),
  };
  // Versions before 3 of the protocol have no such fields.
  const workFactor = reader.optionalNumber();
  const workMilliseconds = reader.optionalNumber();
  const reserved = reader.optionalNumber();
  const slowness = reader.optionalNumber();
  const further = { workFactor, workMilliseconds, reserved, slowness };
  return Object.values(further).every((value) => value === undefined)
    ? report
    : { ...report, ...further };
}
