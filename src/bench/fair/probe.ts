/** Counts control bytes by link class and by message kind, and processor time, on the fake network. */
import { performance } from 'node:perf_hooks';
import { PeerMessage as PeerMessageCodec } from '../../protocol/generated/peer.js';
import type { FakeNetworkOptions } from '../support/fakeNetwork.js';

export type LinkClass = 'sameDomain' | 'sameRegion' | 'crossRegion';

export interface Probe {
  readonly hooks: Pick<FakeNetworkOptions, 'onSend' | 'onReduce'>;
  readonly reset: () => void;
  readonly bytes: () => Readonly<Record<LinkClass, number>>;
  /** Time spent handling timers and peer messages, in milliseconds. */
  readonly controlMs: () => number;
  readonly bytesByKind: () => ReadonlyMap<string, number>;
}

export function createProbe(): Probe {
  let bytes = { sameDomain: 0, sameRegion: 0, crossRegion: 0 };
  let controlMs = 0;
  const byKind = new Map<string, number>();
  return {
    hooks: {
      onSend: (from, to, { message }) => {
        const size = PeerMessageCodec.encode({ body: message }).finish().length;
        bytes[linkClass(from, to)] += size;
        byKind.set(message.$case, (byKind.get(message.$case) ?? 0) + size);
      },
      onReduce: (_, event, run) => {
        if (event.kind !== 'peerMessage' && event.kind !== 'timer') return run();
        const start = performance.now();
        const effects = run();
        controlMs += performance.now() - start;
        return effects;
      },
    },
    reset: () => {
      bytes = { sameDomain: 0, sameRegion: 0, crossRegion: 0 };
      controlMs = 0;
      byKind.clear();
    },
    bytes: () => bytes,
    controlMs: () => controlMs,
    bytesByKind: () => byKind,
  };
}

interface Location {
  readonly domain: string;
  readonly region: string;
}

function linkClass(from: Location, to: Location): LinkClass {
  if (from.region !== to.region) return 'crossRegion';
  return from.domain === to.domain ? 'sameDomain' : 'sameRegion';
}
