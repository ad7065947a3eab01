/**
 * Estimates the work that other instances have sent to a pool's upstreams and have not told of yet.
 *
 * Load pattern: all callers of a large fleet come at once, or a few customers multiply their load. News of
 * other instances takes some tenths of a second. Until then each instance takes the upstreams for free, and
 * all of them together fill their queues for seconds.
 *
 * An instance therefore expects of the others what it sees of its own requests: if more of them wait to be
 * read than when the others told of theirs, the same goes for the others, in proportion to what they were asked
 * then. The estimate ends as soon as its own requests are answered, or news can have told.
 */
import type { Millis } from '../../core/clock.js';

/** Requests of this instance to the upstreams of a pool whose answers have not begun. */
export interface UnreadWork {
  readonly requests: number;
  readonly tokens: number;
}

/** What an instance told at some time. */
export interface ToldState {
  readonly unread: UnreadWork;
  /** Tokens per second that its callers asked for. */
  readonly asked: number;
}

const NOTHING_TOLD: ToldState = { unread: { requests: 0, tokens: 0 }, asked: 0 };

/** What this instance has told. */
export interface ToldHistory {
  readonly record: (state: ToldState, now: Millis) => void;
  /** Returns what was told last at or before a time. */
  readonly at: (time: Millis) => ToldState;
}

/** Messages that are remembered: more than are sent in the time that news take. */
const MAX_REMEMBERED = 10;

/**
 * Demand in tokens per second below which nothing tells whether this instance has more callers than the others.
 */
const PRIOR_ASKED = 500;
/** Demand of another instance as a part of this one's while nothing tells; instances that ask have more. */
const PRIOR_RATIO = 0.25;

export function createToldHistory(): ToldHistory {
  let told: readonly { readonly at: Millis; readonly state: ToldState }[] = [];
  return {
    record: (state, now) => {
      told = [...told, { at: now, state }].slice(-MAX_REMEMBERED);
    },
    at: (time) => told.findLast(({ at }) => at <= time)?.state ?? NOTHING_TOLD,
  };
}

export interface UnseenWorkInput {
  /** Own unread work now, and as it was when the oldest news of others left. */
  readonly unread: UnreadWork;
  readonly toldUnread: UnreadWork;
  /** Tokens per second that others' callers asked for, as told, and this one's at about that time. */
  readonly othersAsked: number;
  readonly ownAsked: number;
  readonly otherInstances: number;
  readonly upstreams: number;
}

/** Returns the tokens that each upstream probably has to read for requests that nobody has told of. */
export function estimateUnseenTokens(input: UnseenWorkInput): number {
  const { unread, toldUnread, upstreams } = input;
  const growth = Math.max(0, unread.tokens - toldUnread.tokens);
  const own = growth * significance(unread.requests, toldUnread.requests);
  return (own * relativeDemand(input)) / Math.max(1, upstreams);
}

/** Returns the demand of the other instances as a multiple of this one's, at most that of equal ones. */
function relativeDemand({ ownAsked, othersAsked, otherInstances }: UnseenWorkInput): number {
  const priorAsked = PRIOR_ASKED * PRIOR_RATIO * otherInstances;
  const ratio = (othersAsked + priorAsked) / (ownAsked + PRIOR_ASKED);
  return Math.min(otherInstances, ratio);
}

/**
 * Returns the part of the difference of two counts that is not chance: 0 up to one standard deviation of the
 * difference of two Poisson counts, close to 1 far beyond it.
 */
function significance(count: number, before: number): number {
  const deviations = (count - before) / Math.sqrt(Math.max(1, count + before));
  return deviations <= 1 ? 0 : 1 - 1 / deviations ** 2;
}
