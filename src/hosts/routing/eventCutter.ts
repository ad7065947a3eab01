/**
 * Splits a stream of server-sent events into whole events and remembers the id of the last one. Only
 * whole events are passed on of a stream that may go on at another upstream.
 */
import type { EventId } from '../../routing/types.js';
import { endOfLastEvent } from '../eventStream.js';

const ID_FIELD = 'id:';
/** Longest single event. */
const MAX_EVENT_BYTES = 1024 * 1024;

export interface EventCutter {
  /** Returns the bytes of the events that a chunk completed; may be empty. */
  readonly take: (chunk: Uint8Array) => Uint8Array;
  /** Bytes of an unfinished event. */
  readonly rest: () => Uint8Array;
  readonly lastId: () => EventId | undefined;
}

const NOTHING = new Uint8Array(0);

export function createEventCutter(): EventCutter {
  let rest: Uint8Array = NOTHING;
  let lastId: EventId | undefined;

  return {
    take: (chunk) => {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const end = endOfLastEvent(bytes);
      rest = end === bytes.length ? NOTHING : bytes.subarray(end);
      if (rest.length > MAX_EVENT_BYTES) throw new Error('An event is too long.');
      if (end === 0) return NOTHING;
      const whole = bytes.subarray(0, end);
      lastId = lastIdOf(whole) ?? lastId;
      return whole;
    },
    rest: () => rest,
    lastId: () => lastId,
  };
}

/** Value of the last `id` field. */
function lastIdOf(bytes: Uint8Array): EventId | undefined {
  const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('utf8');
  const lines = text.split(/\r?\n/).filter((line) => line.startsWith(ID_FIELD));
  return lines.at(-1)?.slice(ID_FIELD.length).trim();
}
