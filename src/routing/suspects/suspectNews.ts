/**
 * Exchanges what the instances know of crashes and their possible causes.
 *
 * A change is part of several messages, so that a lost one does no harm. Refused causes are part of
 * every message, so that an instance that has just started learns them with the first one. Times are
 * sent as ages, since clocks are not compared.
 */
import type { Millis } from '../../core/clock.js';
import type { PeerMessageOf } from '../../core/types.js';
import type { RoutingContext } from '../context.js';
import { queueUrgentChange, takeChanges } from './changeQueue.js';
import { mergeAnswered, mergeCrash, mergeTrial, noteAnswered } from './suspects.js';
import type { SuspectChange } from './suspectsState.js';

type SuspectNews = NonNullable<PeerMessageOf<'routingNews'>['suspectNews']>;

/** Maximum number of refused causes in one message, the latest first. */
const MAX_BLOCKED_TOLD = 32;

/** Takes the changes for the next message. */
export function takeSuspectNews(ctx: RoutingContext): SuspectNews | undefined {
  const changes = [...takeChanges(ctx), ...blockedCrashes(ctx)];
  if (changes.length === 0) return undefined;
  const toAge = (at: Millis) => Math.max(0, Math.round(ctx.now - at));
  return {
    crashes: changes.flatMap((change) => {
      if (change.kind !== 'crash') return [];
      const { cause, isWhole, crash } = change;
      const { upstream, crashedAt, runMs } = crash;
      const ageMs = toAge(crashedAt);
      return [{ cause, isWhole, upstream, ageMs, runMs: Math.round(runMs) }];
    }),
    answers: changes.flatMap((change) =>
      change.kind === 'answered' ? [{ cause: change.cause, ageMs: toAge(change.at) }] : [],
    ),
    trials: changes.flatMap((change) =>
      change.kind === 'trial' ? [{ cause: change.cause, ageMs: toAge(change.at) }] : [],
    ),
  };
}

function blockedCrashes({ state }: RoutingContext): readonly SuspectChange[] {
  const { suspects, blocked } = state.suspects;
  return [...blocked].slice(-MAX_BLOCKED_TOLD).flatMap((cause) => {
    const { isWhole = false, crashes = [] } = suspects.get(cause) ?? {};
    return crashes.map((crash) => ({ kind: 'crash', cause, isWhole, crash }) as const);
  });
}

/**
 * Applies what another instance knows.
 *
 * @param shouldPassOn Whether this instance tells others what is new, as the relay of its domain.
 */
export function applySuspectNews(
  ctx: RoutingContext,
  news: SuspectNews | undefined,
  shouldPassOn: boolean,
): void {
  if (news === undefined) return;
  news.crashes.forEach(({ cause, isWhole, upstream, ageMs, runMs }) => {
    const crash = { upstream, crashedAt: ctx.now - ageMs, runMs };
    const isNew = mergeCrash(ctx, { hash: cause, isWhole }, crash, false);
    if (isNew && shouldPassOn) queueUrgentChange(ctx, { kind: 'crash', cause, isWhole, crash });
  });
  news.answers.forEach(({ cause, ageMs }) => {
    const at = ctx.now - ageMs;
    noteAnswered(ctx, cause, at);
    const isNew = mergeAnswered(ctx, cause, at);
    if (isNew && shouldPassOn) queueUrgentChange(ctx, { kind: 'answered', cause, at });
  });
  news.trials.forEach(({ cause, ageMs }) => {
    const at = ctx.now - ageMs;
    const isNew = mergeTrial(ctx, cause, at);
    if (isNew && shouldPassOn) queueUrgentChange(ctx, { kind: 'trial', cause, at });
  });
}
