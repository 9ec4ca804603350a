import type { Deployment, RequestKind, Service } from './Deployment.js';

/** What a request is, by the deployment in effect. The objects are shared between requests. */
export type RequestMatch =
  | { readonly type: 'matched'; readonly service: Service; readonly kind: RequestKind }
  | { readonly type: 'no-such-service' }
  | { readonly type: 'no-such-kind'; readonly service: Service };

type Matched = Extract<RequestMatch, { type: 'matched' }>;

/** A place in the tree of path segments of one service and method. */
interface SegmentNode {
  readonly literals: Map<string, SegmentNode>;
  parameter: SegmentNode | undefined;
  /** A kind whose pattern ends here. */
  end: Matched | undefined;
  /** A kind whose pattern ends here with `*`. */
  rest: Matched | undefined;
}

interface ServiceTable {
  readonly methods: Map<string, SegmentNode>;
  readonly noSuchKind: RequestMatch;
}

const slash = '/'.charCodeAt(0);
const noSuchService: RequestMatch = { type: 'no-such-service' };

/**
 * Finds the service and kind of a request by host name, method and path. Built once for each
 * deployment; a match makes no objects but the path's segments. A literal segment wins over a
 * parameter and a parameter over `*`.
 */
export class RequestMatcher {
  readonly #hosts = new Map<string, ServiceTable>();

  constructor(deployment: Deployment) {
    for (const service of deployment.services) {
      const table = buildTable(service);
      for (const host of service.hosts) this.#hosts.set(host, table);
    }
  }

  /** `host` is the Host header, with or without a port; `target` is path and query. */
  match(host: string, method: string, target: string): RequestMatch {
    const table = this.#findTable(host);
    if (table === undefined) return noSuchService;
    const root = table.methods.get(method);
    if (root === undefined || target.charCodeAt(0) !== slash) return table.noSuchKind;
    return matchFrom(root, target, 1, endOfPath(target)) ?? table.noSuchKind;
  }

  /** Most callers send the name as it is declared, with or without a port. */
  #findTable(host: string): ServiceTable | undefined {
    const colon = host.indexOf(':');
    const name = colon === -1 ? host : host.slice(0, colon);
    return this.#hosts.get(name) ?? this.#hosts.get(normalizeName(name));
  }
}

function buildTable(service: Service): ServiceTable {
  const methods = new Map<string, SegmentNode>();
  for (const kind of service.kinds) {
    const root = methods.get(kind.method) ?? makeNode();
    methods.set(kind.method, root);
    addKind(root, { type: 'matched', service, kind });
  }
  return { methods, noSuchKind: { type: 'no-such-kind', service } };
}

function addKind(root: SegmentNode, matched: Matched): void {
  const segments = matched.kind.path.slice(1).split('/');
  let node = root;
  for (const segment of segments) {
    if (segment === '*') {
      node.rest = matched;
      return;
    }
    node = segment.startsWith(':') ? parameterChild(node) : literalChild(node, segment);
  }
  node.end = matched;
}

function parameterChild(node: SegmentNode): SegmentNode {
  const child = node.parameter ?? makeNode();
  // eslint-disable-next-line no-param-reassign -- the tree is built in place.
  node.parameter = child;
  return child;
}

function literalChild(node: SegmentNode, segment: string): SegmentNode {
  const child = node.literals.get(segment) ?? makeNode();
  node.literals.set(segment, child);
  return child;
}

function makeNode(): SegmentNode {
  return { literals: new Map(), parameter: undefined, end: undefined, rest: undefined };
}

/** Matches the path from the segment that starts at `start`; goes back when a branch fails. */
function matchFrom(
  node: SegmentNode,
  target: string,
  start: number,
  end: number,
): Matched | undefined {
  if (start > end) return node.end;
  const separator = target.indexOf('/', start);
  const stop = separator === -1 || separator > end ? end : separator;
  const literal = node.literals.get(target.slice(start, stop));
  if (literal !== undefined) {
    const matched = matchFrom(literal, target, stop + 1, end);
    if (matched !== undefined) return matched;
  }
  if (node.parameter !== undefined && stop > start) {
    const matched = matchFrom(node.parameter, target, stop + 1, end);
    if (matched !== undefined) return matched;
  }
  return node.rest;
}

function endOfPath(target: string): number {
  const query = target.indexOf('?');
  return query === -1 ? target.length : query;
}

/** Removes one final dot; host names are compared in lower case. */
function normalizeName(name: string): string {
  return name.replace(/\.$/, '').toLowerCase();
}
