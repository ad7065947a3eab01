/**
 * Estimates the work that other instances have sent to a pool's upstreams and have not told of yet.
 *
 * Load pattern: all callers of a large fleet come at once, or a few customers multiply their load. News of
 * other instances takes some tenths of a second. Until then each instance takes the upstreams for free, and
 * all of them together fill their queues for seconds.
 *
 * An instance therefore expects of the others what it sees of its own requests: if more of them wait to be
 * read than when the others told of theirs, the same goes for the others. The estimate ends as soon as its own
 * requests are answered, or news can have told.
 */
import type { Millis } from '../../core/clock.js';

/** Requests of this instance to the upstreams of a pool whose answers have not begun. */
export interface UnreadWork {
  readonly requests: number;
  readonly tokens: number;
}

const NO_WORK: UnreadWork = { requests: 0, tokens: 0 };

/** What this instance has told of its unread work. */
export interface ToldWork {
  readonly record: (work: UnreadWork, now: Millis) => void;
  /** Returns what was told last at or before a time. */
  readonly at: (time: Millis) => UnreadWork;
}

/** Messages that are remembered: more than are sent in the time that news take. */
const MAX_REMEMBERED = 10;

export function createToldWork(): ToldWork {
  let told: readonly { readonly at: Millis; readonly work: UnreadWork }[] = [];
  return {
    record: (work, now) => {
      told = [...told, { at: now, work }].slice(-MAX_REMEMBERED);
    },
    at: (time) => told.findLast(({ at }) => at <= time)?.work ?? NO_WORK,
  };
}

export interface UnseenWorkInput {
  /** Own unread work now, and as it was when the others told of theirs. */
  readonly unread: UnreadWork;
  readonly told: UnreadWork;
  readonly otherInstances: number;
  readonly upstreams: number;
}

/** Returns the tokens that each upstream probably has to read for requests that nobody has told of. */
export function estimateUnseenTokens(input: UnseenWorkInput): number {
  const { unread, told, otherInstances, upstreams } = input;
  const growth = Math.max(0, unread.tokens - told.tokens);
  const perInstance = growth * significance(unread.requests, told.requests);
  return (perInstance * otherInstances) / Math.max(1, upstreams);
}

/**
 * Returns the part of the difference of two counts that is not chance: 0 up to one standard deviation of the
 * difference of two Poisson counts, close to 1 far beyond it.
 */
function significance(count: number, before: number): number {
  const deviations = (count - before) / Math.sqrt(Math.max(1, count + before));
  return deviations <= 1 ? 0 : 1 - 1 / deviations ** 2;
}
