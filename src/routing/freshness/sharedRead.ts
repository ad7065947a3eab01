/**
 * A read of the platform that the instances of a failure domain share: one of them, the reader,
 * polls, and its messages confirm to the others up to when the state they have is the newest
 * (`exchange/confirmations.ts`). Another instance polls by itself once these confirmations get old
 * or its reader falls silent.
 */
import type { Millis } from '../../core/clock.js';
import { logWarning, type RoutingContext } from '../context.js';
import { hasLowestId } from '../exchange/members.js';
import type { PollState } from '../polls.js';

/** Time without a confirmation from a peer after which an instance polls by itself. */
const PEER_SILENCE_TIMEOUT_MS: Millis = 1_000;
/** Time within which a read ends, its wait for changes aside, even if every page of it is late. */
const MAX_READ_MS: Millis = 5_000;

export interface SharedReadState extends PollState {
  /** Start of the last successful read of the platform, by this instance or a peer. */
  confirmedAt: Millis | undefined;
  /** Time at which a peer's confirmation was last received. */
  peerConfirmedAt: Millis;
  /** Whether a read of the platform is pending. */
  isPolling: boolean;
  /** Time at which the last read was begun. */
  begunAt: Millis;
  /** Answers to reads that were sent before this time are ignored, as these reads were given up. */
  givenUpBefore: Millis;
  /** Time that the clock failed to count since the last read was sent. */
  clockGapMs: Millis;
}

export function createSharedReadState(): SharedReadState {
  return {
    cursor: undefined,
    failures: 0,
    era: undefined,
    confirmedAt: undefined,
    peerConfirmedAt: -Infinity,
    isPolling: false,
    begunAt: -Infinity,
    givenUpBefore: -Infinity,
    clockGapMs: 0,
  };
}

/** Marks a read as pending. */
export function beginRead({ now }: RoutingContext, read: SharedReadState): void {
  const begun = read;
  begun.isPolling = true;
  begun.begunAt = now;
  begun.clockGapMs = 0;
}

/**
 * Gives up a read that should have ended long ago, whether answered or failed. Returns whether it did.
 *
 * @param reads Name of the resource in the log line.
 */
export function giveUpOverdue(
  ctx: RoutingContext,
  reads: string,
  read: SharedReadState,
  waitMs: Millis,
): boolean {
  const pendingMs = ctx.now - read.begunAt;
  return read.isPolling && pendingMs >= waitMs + MAX_READ_MS && giveUp(ctx, reads, read);
}

/** Gives up the pending read: what it may still answer is ignored. Returns true. */
export function giveUp(ctx: RoutingContext, reads: string, read: SharedReadState): true {
  const pending = read;
  pending.isPolling = false;
  pending.givenUpBefore = ctx.now;
  logWarning(ctx, 'readOverdue', { reads, pendingMs: Math.round(ctx.now - read.begunAt) });
  return true;
}

/** Returns whether an answer is of a read that was given up. */
export function isGivenUp(read: SharedReadState, askedAt: Millis): boolean {
  return askedAt < read.givenUpBefore;
}

/** Returns the age of the last confirmation, if there is one. */
export function ageOfRead({ now }: RoutingContext, read: SharedReadState): Millis | undefined {
  return read.confirmedAt === undefined ? undefined : Math.max(0, now - read.confirmedAt);
}

/** Records that the state was the newest when a read, which has been answered, was sent. */
export function confirmRead(read: SharedReadState, askedAt: Millis): void {
  const confirmed = read;
  confirmed.confirmedAt = Math.max(read.confirmedAt ?? -Infinity, askedAt);
}

/** Records a peer's confirmation that the state was the newest at the given time. */
export function confirmByPeer({ now }: RoutingContext, read: SharedReadState, at: Millis): void {
  const confirmed = read;
  confirmed.peerConfirmedAt = now;
  confirmRead(read, at);
}

/** Ages a confirmation by time that has passed without the clock counting it. */
export function ageByClockGap(read: SharedReadState, gapMs: Millis): void {
  const aged = read;
  if (read.confirmedAt !== undefined) aged.confirmedAt = read.confirmedAt - gapMs;
  aged.clockGapMs += gapMs;
}

/**
 * Returns whether another instance of the domain polls on behalf of this one, and its confirmations
 * are younger than `maxAgeMs`.
 */
export function isConfirmedByReader(
  ctx: RoutingContext,
  read: SharedReadState,
  maxAgeMs: Millis,
): boolean {
  if (read.failures > 0 || hasLowestId(ctx)) return false;
  if (ctx.now - read.peerConfirmedAt > PEER_SILENCE_TIMEOUT_MS) return false;
  return (ageOfRead(ctx, read) ?? Infinity) < maxAgeMs;
}
