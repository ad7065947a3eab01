/**
 * Claims make a non-idempotent request with an idempotency key run at most once in the whole fleet.
 *
 * Before its dispatch the request's instance appends a claim to the log and reads it back; the first
 * claim of a key in log order wins. The claim waits in parallel with the request's wait for a slot.
 * No clock or lease decides who may run the request: the winner is the winner for good, also if it
 * dies, in which case nobody knows whether the request ran and nobody runs it again. An instance
 * gives a claim up only on its own account, and never dispatches under it afterwards.
 */
import { logLine, type CoreContext } from '../context.js';
import { Debug } from '../debug.js';
import type { DiagnosticCode } from '../diagnostics.js';
import { noteChange } from '../dispatch/queues.js';
import { isUntried, refuseRequest } from '../requests/outcomes.js';
import type { NotRunProblem, RequestFacts } from '../types.js';
import { knownKeyOf, type KnownKey, type OwnClaim } from './claimsState.js';
import { answerDuplicate } from './duplicates.js';
import { foldRecord, knownKey } from './knownKeys.js';
import { isLogDown, requestRead } from './logReader.js';
import { claimExpiry, claimRecordOf, needsClaim } from './ownClaims.js';
import type { ClaimsRecord } from './records.js';
import { releaseClaim } from './settlement.js';
import { noteSeen, submitRecord } from './submission.js';

const UNAVAILABLE = 503;

/** Claims the key of a queued request, or answers the request from what is known of the key. */
export function requestClaim(ctx: CoreContext, facts: RequestFacts): void {
  const { claims } = ctx.state;
  if (!needsClaim(facts)) return;
  const key = facts.idempotencyKey as string;
  const known = knownKey(ctx.state, knownKeyOf(facts.customer, key));
  if (known?.holder !== undefined) {
    answerDuplicate(ctx, facts, known);
    return;
  }
  if (isLogDown(ctx)) {
    refuseClaim(ctx, facts, 'logUnavailable');
    return;
  }
  const claim = createClaim(ctx, facts, key);
  claims.own.set(claim.claimId, claim);
  claims.byRequest.set(facts.requestId, claim.claimId);
  submitRecord(ctx, claimRecordOf(ctx.state, claim));
  requestRead(ctx);
}

/**
 * Refuses a request whose claim is too old; true if it did. A claimant that was paused may not know
 * what others did in the meantime.
 */
export function refuseExpiredClaim(ctx: CoreContext, facts: RequestFacts): boolean {
  const expiry = claimExpiry(ctx.state, facts);
  if (expiry === undefined || ctx.now < expiry) return false;
  refuseClaim(ctx, facts, 'claimExpired');
  return true;
}

/** Gives up every claim that has not been read back. */
export function abandonAll(ctx: CoreContext): void {
  ctx.state.claims.own.forEach((claim) => {
    if (claim.status === 'pending') refuseClaim(ctx, claim.facts, 'claimNotSettled');
  });
}

/** Refuses the requests whose claims were not read back in time. */
export function timeOutClaims(ctx: CoreContext): void {
  const { claims, settings } = ctx.state;
  claims.own.forEach((claim, id) => {
    const age = ctx.now - claim.submittedAt;
    if (claim.status === 'pending' && age >= settings.claimTimeoutMs) {
      refuseClaim(ctx, claim.facts, isLogDown(ctx) ? 'logUnavailable' : 'claimNotSettled');
    }
    if (claim.status === 'abandoned' && age >= settings.claimMemoryMs) claims.own.delete(id);
  });
}

/** Folds a record that was read from the log and acts on what it decides for this instance. */
export function onRecordRead(ctx: CoreContext, record: ClaimsRecord, offset: number): void {
  const known = foldRecord(ctx.state, record, offset, ctx.now);
  noteSeen(ctx.state, record);
  if (record.type !== 'claim') return;
  const claim = ctx.state.claims.own.get(record.id);
  if (claim === undefined) return;
  if (known.holder?.claimId === record.id) onWon(ctx, claim);
  else onLost(ctx, claim, known);
}

function onWon(ctx: CoreContext, claim: OwnClaim): void {
  switch (claim.status) {
    case 'won':
      return;
    case 'abandoned':
      releaseClaim(ctx, claim);
      return;
    case 'pending':
      // A paused instance reads its claim late; its time-out has not fired yet.
      if (ctx.now - claim.submittedAt >= ctx.state.settings.claimTimeoutMs) {
        claim.status = 'won';
        refuseClaim(ctx, claim.facts, 'claimNotSettled');
        return;
      }
      claim.status = 'won';
      noteChange(ctx, claim.facts.pool);
      break;
    default:
      Debug.assertNever(claim.status);
  }
}

function onLost(ctx: CoreContext, claim: OwnClaim, known: KnownKey): void {
  const { claims } = ctx.state;
  claims.own.delete(claim.claimId);
  claims.byRequest.delete(claim.facts.requestId);
  if (claim.status === 'pending') answerDuplicate(ctx, claim.facts, known);
}

function refuseClaim(ctx: CoreContext, facts: RequestFacts, code: DiagnosticCode): void {
  const request = ctx.state.requests.active.get(facts.requestId);
  if (request === undefined || !isUntried(request)) return;
  const problem: NotRunProblem = {
    code,
    status: UNAVAILABLE,
    executed: 'no',
    step: 'claim',
    peer: { kind: 'platform', part: 'log' },
    retryAfterMs: ctx.state.settings.retryAfterMs,
  };
  logLine(ctx, 'warn', 'claims', code);
  refuseRequest(ctx, request, problem);
}

function createClaim(ctx: CoreContext, facts: RequestFacts, key: string): OwnClaim {
  const { claims, self } = ctx.state;
  const number = claims.nextClaim;
  claims.nextClaim += 1;
  const claimId = `${self.id}-${self.incarnation.toString(36)}-${number.toString(36)}`;
  return { claimId, facts, key, submittedAt: ctx.now, status: 'pending' };
}
