/**
 * Splits encoded batches into datagrams that fit into one network packet, and joins them again.
 *
 * Each datagram starts with a header: format, number of the batch (4 bytes, big-endian), index of
 * the part and number of parts. A batch with a missing part is dropped; messages contain full state
 * or repeat their changes, so that the next batch makes up for it.
 */
import type { Millis } from '../core/clock.js';

/** Size of a datagram that crosses usual networks without being fragmented. */
export const MAX_DATAGRAM_BYTES = 1_400;
/** Limit on the parts of a batch, given by the header's one-byte fields. */
export const MAX_PARTS = 255;

const FORMAT = 1;
const HEADER_BYTES = 7;
const PART_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES;
const NUMBER_OFFSET = 1;
const INDEX_OFFSET = 5;
const COUNT_OFFSET = 6;
const UINT32_RANGE = 2 ** 32;
/** Time after which the parts of an incomplete batch are discarded. */
const INCOMPLETE_TIMEOUT_MS: Millis = 2_000;

/** Splits a batch into datagrams. Throws a `RangeError` if it needs too many. */
export function splitBatch(batch: Uint8Array, number: number): readonly Buffer[] {
  const count = Math.max(1, Math.ceil(batch.length / PART_BYTES));
  if (count > MAX_PARTS) throw new RangeError(`A batch of ${batch.length} bytes is too long.`);
  return Array.from({ length: count }, (_, index) => {
    const part = batch.subarray(index * PART_BYTES, (index + 1) * PART_BYTES);
    const datagram = Buffer.allocUnsafe(HEADER_BYTES + part.length);
    datagram.writeUInt8(FORMAT, 0);
    datagram.writeUInt32BE(number % UINT32_RANGE, NUMBER_OFFSET);
    datagram.writeUInt8(index, INDEX_OFFSET);
    datagram.writeUInt8(count, COUNT_OFFSET);
    datagram.set(part, HEADER_BYTES);
    return datagram;
  });
}

/** Result of a received datagram. */
export type JoinResult =
  | { readonly kind: 'batch'; readonly bytes: Uint8Array }
  /** More parts of the batch are missing. */
  | { readonly kind: 'incomplete' }
  | { readonly kind: 'malformed'; readonly reason: string };

export interface BatchJoiner {
  /** Adds a datagram from a source, such as `ip:port`. */
  readonly add: (source: string, datagram: Buffer, now: Millis) => JoinResult;
  /** Number of sources with an incomplete batch. */
  readonly incompleteCount: () => number;
}

interface IncompleteBatch {
  readonly number: number;
  readonly parts: (Buffer | undefined)[];
  missing: number;
  readonly startedAt: Millis;
}

/** Creates a joiner, which keeps at most one incomplete batch of each source. */
export function createBatchJoiner(): BatchJoiner {
  const incomplete = new Map<string, IncompleteBatch>();

  function discardExpired(now: Millis): void {
    incomplete.forEach(({ startedAt }, source) => {
      if (now - startedAt > INCOMPLETE_TIMEOUT_MS) incomplete.delete(source);
    });
  }

  function findOrStart(
    source: string,
    number: number,
    count: number,
    now: Millis,
  ): IncompleteBatch {
    const known = incomplete.get(source);
    if (known?.number === number && known.parts.length === count) return known;
    discardExpired(now);
    const started = {
      number,
      parts: Array.from<Buffer | undefined>({ length: count }),
      missing: count,
      startedAt: now,
    };
    incomplete.set(source, started);
    return started;
  }

  return {
    add: (source, datagram, now) => {
      const reason = findDefect(datagram);
      if (reason !== undefined) return { kind: 'malformed', reason };
      const part = datagram.subarray(HEADER_BYTES);
      const count = datagram.readUInt8(COUNT_OFFSET);
      if (count === 1) return { kind: 'batch', bytes: part };
      const index = datagram.readUInt8(INDEX_OFFSET);
      const batch = findOrStart(source, datagram.readUInt32BE(NUMBER_OFFSET), count, now);
      if (batch.parts[index] === undefined) batch.missing -= 1;
      batch.parts[index] = part;
      if (batch.missing > 0) return { kind: 'incomplete' };
      incomplete.delete(source);
      return {
        kind: 'batch',
        bytes: Buffer.concat(batch.parts.filter((one) => one !== undefined)),
      };
    },
    incompleteCount: () => incomplete.size,
  };
}

/** Returns what is wrong with a datagram's header, if anything. */
function findDefect(datagram: Buffer): string | undefined {
  if (datagram.length < HEADER_BYTES) return 'the header is truncated';
  if (datagram.readUInt8(0) !== FORMAT) return `the format is ${datagram.readUInt8(0)}`;
  const index = datagram.readUInt8(INDEX_OFFSET);
  const count = datagram.readUInt8(COUNT_OFFSET);
  return index < count ? undefined : `part ${index} of ${count}`;
}
