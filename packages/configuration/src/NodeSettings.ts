import type { Location, SocketAddress } from '@hickorybridge/types';

/** Settings of one node, from its TOML file. */
export interface NodeSettings {
  readonly node: Location & {
    readonly id: string;
    /** Seed of every random decision; a random one when it is absent. */
    readonly seed?: number | undefined;
  };
  readonly listeners: {
    readonly callers: SocketAddress;
    readonly announcements: SocketAddress;
    readonly operators: SocketAddress;
    readonly peers: SocketAddress;
    /** Address under which other nodes reach the peers' listener; `peers` when it is absent. */
    readonly advertisedPeers?: SocketAddress | undefined;
    /** For how long a starting node tries addresses again that cannot be listened on. */
    readonly retryMilliseconds: number;
  };
  readonly store: {
    readonly url: string;
    readonly timeoutMilliseconds: number;
  };
  readonly peers: {
    /** Peers to ask first. */
    readonly seeds: readonly SocketAddress[];
    /** Needed when a peers' or operators' listener is not on loopback. */
    readonly sharedKey?: string | undefined;
  };
  readonly shutdown: {
    readonly noticeMilliseconds: number;
    readonly graceMilliseconds: number;
  };
  readonly log: {
    readonly level: 'error' | 'warn' | 'info' | 'debug';
    readonly format: 'text' | 'json';
  };
  readonly traces: {
    /** OTLP over HTTP; no export when it is absent. */
    readonly otlpUrl?: string | undefined;
    /** Share of requests that are traced, from 0 to 1. */
    readonly sampleShare: number;
  };
}
