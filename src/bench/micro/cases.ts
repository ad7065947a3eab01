/** Defines the micro-benchmarks. */
import { rendezvousScore } from '../../core/hash.js';
import type { PeerMessage } from '../../core/types.js';
import { Batch } from '../../protocol/generated/peer.js';
import { createSteadyCore } from './steadyCore.js';

export interface BenchCase {
  readonly name: string;
  /** Name of the unit of work. */
  readonly unit: string;
  /** Sets up the state and returns the operation to time, which returns the units of work done. */
  readonly prepare: () => () => number;
  /** Encoded size of one unit, for messages. */
  readonly bytes?: () => number;
}

const TARGET_SIZE = { customers: 9_000, waiting: 900, upstreams: 30 } as const;
const ENTRY_COUNT = 100;
const SENDER = { id: 'instance-117', incarnation: 1_700_000_000_123_456 };

const WAITING_UPDATE: PeerMessage = {
  $case: 'waitingUpdate',
  value: {
    pool: 3,
    sequence: 70_000,
    full: true,
    customers: createNumbers((i) => i * 90),
    counts: createNumbers((i) => i % 40),
    waitedMs: createNumbers((i) => i * 10),
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
    waiting: ENTRY_COUNT,
    customers: createNumbers((i) => i * 90),
    sums: createNumbers((i) => i * 1_234),
    lifts: createNumbers((i) => i * 77),
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
  createEncodeCase('waiting update of 100 customers', WAITING_UPDATE),
  createDecodeCase('waiting update of 100 customers', WAITING_UPDATE),
  createEncodeCase('service sums of 100 customers', SERVICE_SUMS),
  createDecodeCase('service sums of 100 customers', SERVICE_SUMS),
];

function createEncodeCase(what: string, message: PeerMessage): BenchCase {
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

function createDecodeCase(what: string, message: PeerMessage): BenchCase {
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

function createNumbers(at: (index: number) => number): number[] {
  return Array.from({ length: ENTRY_COUNT }, (_, i) => at(i));
}
