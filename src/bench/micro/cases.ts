/** The micro-benchmarks: name, unit of work and the operation that is timed. */
import { rendezvousScore } from '../../core/hash.js';
import type { PeerMessage } from '../../core/types.js';
import { Batch } from '../../protocol/generated/peer.js';
import { createSteadyCore } from './steadyCore.js';

export interface BenchCase {
  readonly name: string;
  /** What one unit of work is. */
  readonly unit: string;
  /** Prepares the state and returns the operation, which returns its units of work. */
  readonly prepare: () => () => number;
  /** Bytes of one unit on the wire, where that makes sense. */
  readonly bytes?: () => number;
}

const TARGET_SIZE = { customers: 9_000, waiting: 900, upstreams: 30 } as const;
const ENTRIES = 100;
const SENDER = { id: 'instance-117', incarnation: 1_700_000_000_123_456 };

const WAITING_UPDATE: PeerMessage = {
  $case: 'waitingUpdate',
  value: {
    pool: 3,
    sequence: 70_000,
    full: true,
    customers: numbers((i) => i * 90),
    counts: numbers((i) => i % 40),
    waitedMs: numbers((i) => i * 10),
    headSizes: [],
    heads: [],
  },
};

const SERVICE_SUMS: PeerMessage = {
  $case: 'serviceSums',
  value: {
    scope: 0,
    pool: 3,
    origin: SENDER.id,
    originIncarnation: SENDER.incarnation,
    sequence: 70_000,
    acknowledged: 69_998,
    waiting: ENTRIES,
    customers: numbers((i) => i * 90),
    sums: numbers((i) => i * 1_234),
    lifts: numbers((i) => i * 77),
  },
};

export const BENCH_CASES: readonly BenchCase[] = [
  {
    name: 'reduce: request and end of attempt',
    unit: 'event',
    prepare: () => createSteadyCore(TARGET_SIZE).cycle,
  },
  {
    name: 'reduce: progress of a stream',
    unit: 'event',
    prepare: () => createSteadyCore(TARGET_SIZE).progress,
  },
  {
    name: 'rendezvous: score',
    unit: 'score',
    prepare: () => () => {
      for (let i = 0; i < 1_000; i += 1) rendezvousScore('engine-4711', `instance-${i % 30}`);
      return 1_000;
    },
  },
  encodeCase('waiting update of 100 customers', WAITING_UPDATE),
  decodeCase('waiting update of 100 customers', WAITING_UPDATE),
  encodeCase('service sums of 100 customers', SERVICE_SUMS),
  decodeCase('service sums of 100 customers', SERVICE_SUMS),
];

function encodeCase(what: string, message: PeerMessage): BenchCase {
  const batch = { sender: SENDER, messages: [{ body: message }] };
  return {
    name: `codec: encode ${what}`,
    unit: 'message',
    prepare: () => () => {
      Batch.encode(batch).finish();
      return 1;
    },
    bytes: () => Batch.encode(batch).finish().length,
  };
}

function decodeCase(what: string, message: PeerMessage): BenchCase {
  const bytes = Batch.encode({ sender: SENDER, messages: [{ body: message }] }).finish();
  return {
    name: `codec: decode ${what}`,
    unit: 'message',
    prepare: () => () => {
      Batch.decode(bytes);
      return 1;
    },
  };
}

function numbers(at: (index: number) => number): number[] {
  return Array.from({ length: ENTRIES }, (_, i) => at(i));
}
