/**
 * Decides when a request with a refused cause is sent all the same, to find out whether upstreams still
 * crash on it.
 *
 * Load pattern: a part that was blamed for another one's crashes, or whose upstreams were mended, must be
 * served again, while a part that still crashes upstreams costs one of them with each trial. One request
 * of the whole fleet is tried at a time: the instances take turns at first, in an order that all of them
 * compute alike, and tell each other at once of a trial, after which none tries again for a while.
 *
 * A cause that is only doubted is tried soon and in short turns: most such requests are sound ones, whose
 * upstreams failed together.
 */
import type { Millis } from '../../core/clock.js';
import { hash32, rendezvousScoreOfHashes } from '../../core/hash.js';
import type { RoutingContext } from '../context.js';
import type { CauseHash } from './causes.js';
import { areExplainedBy } from './crash.js';
import type { Suspect } from './suspectsState.js';
import { PROVING_WAVES } from './verdict.js';

/** Time after the crash from which a cause is refused until the first trial. */
const FIRST_TRIAL_MS: Millis = 20_000;
/** The same for a request as a whole, which only its own callers miss. */
const FIRST_WHOLE_TRIAL_MS: Millis = 30_000;
/** Factor of that time with each further crash. */
const TRIAL_BACKOFF = 3;
const MAX_TRIAL_MS: Millis = 30 * 60_000;
/** Length of an instance's turn: a trial is answered or has crashed, and the others know. */
const TURN_MS: Millis = 2_000;
/** Time after the crash from which a doubted cause is refused: the other crashes of a wave are known. */
const DOUBTED_TRIAL_MS: Millis = 2_000;
/** Length of a turn for a doubted cause. */
const DOUBTED_TURN_MS: Millis = 500;
/** Number of turns for a doubted cause; all further instances share the last one. */
const DOUBTED_TURNS = 8;

/** Returns whether a request with these causes may be sent although this one is refused. */
export function isTrialDue(
  ctx: RoutingContext,
  cause: CauseHash,
  requestCauses: ReadonlySet<CauseHash>,
): boolean {
  const suspect = ctx.state.suspects.suspects.get(cause);
  if (suspect === undefined) return true;
  const dueAt = trialDueAt(ctx, cause, suspect, requestCauses);
  const { lastTrialAt = -Infinity } = suspect;
  return ctx.now >= dueAt && ctx.now - lastTrialAt >= trialInterval(ctx, suspect);
}

/** Returns the time at which a request with this cause may be sent, as far as is known now. */
export function trialDueAt(
  ctx: RoutingContext,
  cause: CauseHash,
  suspect: Suspect,
  requestCauses: ReadonlySet<CauseHash>,
): Millis {
  const lastCrashedAt = suspect.crashes.at(-1)?.crashedAt ?? ctx.now;
  const turnMs = delayOfTurn(ctx, cause, suspect);
  // Another cause, which the request does not have, may as well have caused all of the crashes.
  const waitMs = isExplained(ctx, cause, suspect, requestCauses) ? 0 : trialInterval(ctx, suspect);
  return lastCrashedAt + waitMs + turnMs;
}

function delayOfTurn(ctx: RoutingContext, cause: CauseHash, { verdict }: Suspect): Millis {
  const turn = turnOf(ctx, cause);
  if (verdict === 'doubted') return Math.min(turn, DOUBTED_TURNS - 1) * DOUBTED_TURN_MS;
  return turn * TURN_MS;
}

function trialInterval(ctx: RoutingContext, { count, isWhole, verdict }: Suspect): Millis {
  if (verdict === 'doubted') return DOUBTED_TRIAL_MS;
  const { maxCrashes } = ctx.state.settings;
  const provenBy = isWhole ? Math.min(PROVING_WAVES, maxCrashes) : maxCrashes;
  const further = Math.max(0, count - provenBy);
  const firstMs = isWhole ? FIRST_WHOLE_TRIAL_MS : FIRST_TRIAL_MS;
  return Math.min(MAX_TRIAL_MS, firstMs * TRIAL_BACKOFF ** further);
}

function isExplained(
  ctx: RoutingContext,
  cause: CauseHash,
  { crashes }: Suspect,
  requestCauses: ReadonlySet<CauseHash>,
): boolean {
  const { blocked, suspects } = ctx.state.suspects;
  return [...blocked].some((other) => {
    if (other === cause || requestCauses.has(other)) return false;
    return areExplainedBy(crashes, suspects.get(other)?.crashes ?? []);
  });
}

/** Returns the position of this instance among those that are known, by rendezvous hashing. */
function turnOf(ctx: RoutingContext, cause: CauseHash): number {
  const { self, exchange } = ctx.state;
  const ownScore = rendezvousScoreOfHashes(cause, hash32(self.id));
  return [...exchange.peers.keys()].filter(
    (id) => rendezvousScoreOfHashes(cause, hash32(id)) > ownScore,
  ).length;
}
