import type { MetricDefinition } from './MetricDefinition.js';

/** All metrics of a node: the source of the registry and of the reference page. */
export const metricDefinitions = {
  requests: {
    name: 'hickorybridge_requests_total',
    type: 'counter',
    help: 'Requests of callers by outcome: answered, not-run or unknown.',
    labels: ['service', 'kind', 'outcome'],
  },
  requestDuration: {
    name: 'hickorybridge_request_duration_seconds',
    type: 'histogram',
    help: 'Time from the request line to the end of the answer, as the router saw it.',
    labels: ['service', 'kind'],
  },
  problems: {
    name: 'hickorybridge_problems_total',
    type: 'counter',
    help: 'Replies that the node made itself, by problem type.',
    labels: ['problem'],
  },
  tries: {
    name: 'hickorybridge_tries_total',
    type: 'counter',
    help: 'Tries of requests by result: answered, refused or lost.',
    labels: ['service', 'result'],
  },
  hedges: {
    name: 'hickorybridge_hedged_requests_total',
    type: 'counter',
    help: 'Hedged requests that were sent.',
    labels: ['service'],
  },
  refusals: {
    name: 'hickorybridge_refusals_total',
    type: 'counter',
    help: 'Requests that the admission side of this node refused, by reason.',
    labels: ['service', 'reason'],
  },
  admittedDuration: {
    name: 'hickorybridge_backend_duration_seconds',
    type: 'histogram',
    help: 'Time that the backend server of this host took, from the request to the end of the answer.',
    labels: ['service', 'kind'],
  },
  controlBytes: {
    name: 'hickorybridge_control_bytes_total',
    type: 'counter',
    help: 'Bytes for measuring and for the spread of control state, by direction and distance.',
    labels: ['direction', 'distance'],
  },
  storeCalls: {
    name: 'hickorybridge_store_calls_total',
    type: 'counter',
    help: 'Calls to the store by call and result.',
    labels: ['call', 'result'],
  },
  openRequests: {
    name: 'hickorybridge_open_requests',
    type: 'gauge',
    help: 'Requests of callers that are open at this node.',
    labels: [],
  },
  admittedRequests: {
    name: 'hickorybridge_admitted_requests',
    type: 'gauge',
    help: 'Requests that the admission side of this node has in flight or queued.',
    labels: [],
  },
  peerConnections: {
    name: 'hickorybridge_peer_connections',
    type: 'gauge',
    help: 'Open connections to other nodes.',
    labels: [],
  },
  liveNodes: {
    name: 'hickorybridge_nodes',
    type: 'gauge',
    help: 'Nodes that this node knows, itself included.',
    labels: [],
  },
  deploymentNumber: {
    name: 'hickorybridge_deployment_number',
    type: 'gauge',
    help: 'Number of the deployment in effect; 0 before the first.',
    labels: [],
  },
  ready: {
    name: 'hickorybridge_ready',
    type: 'gauge',
    help: '1 when the node takes requests, otherwise 0.',
    labels: [],
  },
  residentMemory: {
    name: 'process_resident_memory_bytes',
    type: 'gauge',
    help: 'Resident memory of the process.',
    labels: [],
  },
  processorTime: {
    name: 'process_cpu_seconds_total',
    type: 'counter',
    help: 'User and system time of the process.',
    labels: [],
  },
} as const satisfies Readonly<Record<string, MetricDefinition>>;
