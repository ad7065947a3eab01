/**
 * Claims ensure that a non-idempotent request with an idempotency key runs at most once in the
 * whole fleet.
 *
 * Before dispatch, the instance that received the request appends a claim to the log and reads it
 * back; the first claim of a key in log order wins. This happens while the request waits for a
 * slot. The winner depends on no clock or lease and keeps the key permanently, even if it crashes.
 * After a crash it is unknown whether the request ran, so no other instance runs it. Only the
 * claiming instance itself can abandon a claim, and it never dispatches under it afterwards.
 */
import { emitLog, type CoreContext } from '../context.js';
import { Debug } from '../debug.js';
import type { DiagnosticCode } from '../diagnostics.js';
import { scheduleAnnouncement } from '../dispatch/queues.js';
import { isUnexecuted, refuseRequest } from '../requests/outcomes.js';
import type { NotRunProblem, RequestFacts } from '../types.js';
import { keyIdOf, type KeyState, type OwnClaim } from './claimsState.js';
import { answerDuplicate } from './duplicates.js';
import { foldRecord, getKeyState } from './knownKeys.js';
import { isLogDown, requestRead } from './logReader.js';
import { claimExpiry, createClaimRecord, needsClaim } from './ownClaims.js';
import type { ClaimsRecord } from './records.js';
import { releaseClaim } from './settlement.js';
import { confirmRecord, submitRecord } from './submission.js';

const UNAVAILABLE = 503;

/** Claims the key of a queued request, or answers the request from the known state of the key. */
export function requestClaim(ctx: CoreContext, facts: RequestFacts): void {
  const { claims } = ctx.state;
  if (!needsClaim(facts)) return;
  const key = facts.idempotencyKey as string;
  const known = getKeyState(ctx.state, keyIdOf(facts.customer, key));
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
  submitRecord(ctx, createClaimRecord(ctx.state, claim));
  requestRead(ctx);
}

/**
 * Refuses a request whose claim has expired, and returns whether it did. An instance that was
 * paused may have missed records that other instances appended in the meantime.
 */
export function refuseExpiredClaim(ctx: CoreContext, facts: RequestFacts): boolean {
  const expiry = claimExpiry(ctx.state, facts);
  if (expiry === undefined || ctx.now < expiry) return false;
  refuseClaim(ctx, facts, 'claimExpired');
  return true;
}

/** Refuses the requests of all claims that have not been read back yet. */
export function abandonPendingClaims(ctx: CoreContext): void {
  ctx.state.claims.own.forEach((claim) => {
    if (claim.status === 'pending') refuseClaim(ctx, claim.facts, 'claimNotSettled');
  });
}

/** Refuses requests whose claims were not read back in time, and deletes old abandoned claims. */
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

/** Folds a record read from the log and applies its result to the claims of this instance. */
export function onRecordRead(ctx: CoreContext, record: ClaimsRecord, offset: number): void {
  const known = foldRecord(ctx.state, record, offset, ctx.now);
  confirmRecord(ctx.state, record);
  if (record.type !== 'claim') return;
  const claim = ctx.state.claims.own.get(record.id);
  if (claim === undefined) return;
  if (known.holder?.claimId === record.id) handleWonClaim(ctx, claim);
  else handleLostClaim(ctx, claim, known);
}

function handleWonClaim(ctx: CoreContext, claim: OwnClaim): void {
  switch (claim.status) {
    case 'won':
      return;
    case 'abandoned':
      releaseClaim(ctx, claim);
      return;
    case 'pending':
      // After a pause, the claim can be read back late, before the claim timer has run.
      if (ctx.now - claim.submittedAt >= ctx.state.settings.claimTimeoutMs) {
        claim.status = 'won';
        refuseClaim(ctx, claim.facts, 'claimNotSettled');
        return;
      }
      claim.status = 'won';
      scheduleAnnouncement(ctx, claim.facts.pool);
      break;
    default:
      Debug.assertNever(claim.status);
  }
}

function handleLostClaim(ctx: CoreContext, claim: OwnClaim, known: KeyState): void {
  const { claims } = ctx.state;
  claims.own.delete(claim.claimId);
  claims.byRequest.delete(claim.facts.requestId);
  if (claim.status === 'pending') answerDuplicate(ctx, claim.facts, known);
}

function refuseClaim(ctx: CoreContext, facts: RequestFacts, code: DiagnosticCode): void {
  const request = ctx.state.requests.active.get(facts.requestId);
  if (request === undefined || !isUnexecuted(request)) return;
  const problem: NotRunProblem = {
    code,
    status: UNAVAILABLE,
    executed: 'no',
    step: 'claim',
    peer: { kind: 'platform', part: 'log' },
    retryAfterMs: ctx.state.settings.retryAfterMs,
  };
  emitLog(ctx, 'warn', 'claims', code);
  refuseRequest(ctx, request, problem);
}

function createClaim(ctx: CoreContext, facts: RequestFacts, key: string): OwnClaim {
  const { claims, self } = ctx.state;
  const sequence = claims.nextClaim;
  claims.nextClaim += 1;
  const claimId = `${self.id}-${self.incarnation.toString(36)}-${sequence.toString(36)}`;
  return { claimId, facts, key, submittedAt: ctx.now, status: 'pending' };
}
