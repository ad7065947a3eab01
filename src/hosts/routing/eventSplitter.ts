/**
 * Splits a stream of server-sent events at event boundaries and tracks the id of the last complete
 * event. Of a resumable stream only complete events are forwarded, so that another upstream can
 * continue after the last one.
 */
import type { EventId } from '../../routing/types.js';
import { findLastEventEnd } from '../eventStream.js';

const ID_FIELD = 'id:';
/** Maximum size of an incomplete event. */
const MAX_EVENT_BYTES = 1024 * 1024;

export interface EventSplitter {
  /** Appends a chunk and returns the events that it completes; may be empty. */
  readonly push: (chunk: Uint8Array) => Uint8Array;
  /** Bytes of the incomplete event at the end. */
  readonly remainder: () => Uint8Array;
  readonly lastEventId: () => EventId | undefined;
}

const EMPTY_BYTES = new Uint8Array(0);

export function createEventSplitter(): EventSplitter {
  let remainder: Uint8Array = EMPTY_BYTES;
  let lastEventId: EventId | undefined;

  return {
    push: (chunk) => {
      const bytes = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]);
      const end = findLastEventEnd(bytes);
      remainder = end === bytes.length ? EMPTY_BYTES : bytes.subarray(end);
      if (remainder.length > MAX_EVENT_BYTES) throw new Error('The event exceeds the size limit.');
      if (end === 0) return EMPTY_BYTES;
      const completeEvents = bytes.subarray(0, end);
      lastEventId = parseLastEventId(completeEvents) ?? lastEventId;
      return completeEvents;
    },
    remainder: () => remainder,
    lastEventId: () => lastEventId,
  };
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Tracks whether a stream of events that is forwarded as it arrives ends inside an event. */
export interface EventBoundary {
  readonly push: (chunk: Uint8Array) => void;
  readonly isInsideEvent: () => boolean;
}

export function createEventBoundary(): EventBoundary {
  // An event ends with an empty line: the stream is inside one once a line has a character.
  let isInside = false;
  let isLineEmpty = true;
  return {
    push: (chunk) => {
      for (const byte of chunk) {
        if (byte === LINE_FEED) {
          if (isLineEmpty) isInside = false;
          isLineEmpty = true;
        } else if (byte !== CARRIAGE_RETURN) {
          isInside = true;
          isLineEmpty = false;
        }
      }
    },
    isInsideEvent: () => isInside,
  };
}

/** Returns the value of the last `id` field. */
function parseLastEventId(bytes: Uint8Array): EventId | undefined {
  const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('utf8');
  const lines = text.split(/\r?\n/).filter((line) => line.startsWith(ID_FIELD));
  return lines.at(-1)?.slice(ID_FIELD.length).trim();
}
