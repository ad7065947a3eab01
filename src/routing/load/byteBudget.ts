/**
 * Divides the memory for bytes that wait among requests: bodies of callers, and the parts of answers that
 * are not passed on yet.
 *
 * Load pattern: many callers send long bodies at once whose last bytes come late, or a faulty upstream holds
 * back the end of long answers. Each request is within its own bound, but all together exceed the memory
 * of the process. Long requests therefore leave a part of the budget to short ones, and a customer that
 * already holds bytes cannot take more than half of it.
 */

/** What the bytes of a request belong to. */
export type HeldPart = 'body' | 'answer';

/** Bytes that one request holds. */
export interface ByteHold {
  /**
   * Sets the bytes held for a part. Returns false, and changes nothing, if there is no room for them or the
   * hold has been released.
   */
  readonly set: (part: HeldPart, bytes: number) => boolean;
  /** Gives back all bytes, and takes none any more. */
  readonly release: () => void;
}

export interface ByteBudget {
  /** Opens a hold without bytes for a request of a customer's key. */
  readonly open: (owner: string) => ByteHold;
  /** Bytes held by all requests. */
  readonly used: () => number;
  readonly limitBytes: number;
}

/** Most bytes of a request that counts as short. */
export const SHORT_REQUEST_BYTES = 64 * 1024;
/** Fraction of the budget up to which long requests may fill it. */
const LONG_FRACTION = 0.75;
/** Fraction of the budget that the long requests of one customer may fill. */
const OWNER_FRACTION = 0.5;

export function createByteBudget(limitBytes: number): ByteBudget {
  const usedByOwner = new Map<string, number>();
  let used = 0;

  function add(owner: string, bytes: number): void {
    used += bytes;
    const ofOwner = (usedByOwner.get(owner) ?? 0) + bytes;
    if (ofOwner > 0) usedByOwner.set(owner, ofOwner);
    else usedByOwner.delete(owner);
  }

  /** Whether a request that holds `held` bytes may grow by `bytes`. */
  function hasRoom(owner: string, held: number, bytes: number): boolean {
    if (bytes <= 0) return true;
    if (held + bytes <= SHORT_REQUEST_BYTES) return used + bytes <= limitBytes;
    if (used + bytes > limitBytes * LONG_FRACTION) return false;
    const heldByOthers = (usedByOwner.get(owner) ?? 0) - held;
    return heldByOthers === 0 || heldByOthers + held + bytes <= limitBytes * OWNER_FRACTION;
  }

  return {
    limitBytes,
    used: () => used,
    open: (owner) => {
      const parts: Record<HeldPart, number> = { body: 0, answer: 0 };
      let isReleased = false;
      const held = () => parts.body + parts.answer;
      return {
        set: (part, bytes) => {
          if (isReleased) return false;
          const growth = bytes - parts[part];
          if (!hasRoom(owner, held(), growth)) return false;
          parts[part] = bytes;
          add(owner, growth);
          return true;
        },
        release: () => {
          isReleased = true;
          add(owner, -held());
          parts.body = 0;
          parts.answer = 0;
        },
      };
    },
  };
}
