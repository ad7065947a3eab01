/** Ends claims: they are abandoned, or settled with the outcome of their request. */
import type { CoreContext } from '../context.js';
import type { RequestFacts, RequestId } from '../types.js';
import { keyIdOf, type ClaimOutcome, type OwnClaim } from './claimsState.js';
import { storeOutcome } from './knownKeys.js';
import { requestRead } from './logReader.js';
import { createClaimRecord, findOwnClaim } from './ownClaims.js';
import { submitRecord, withdrawRecord } from './submission.js';

/** Abandons the claim of a request that has definitely not been run. */
export function abandonClaim(ctx: CoreContext, requestId: RequestId): void {
  const { claims } = ctx.state;
  const claim = findOwnClaim(ctx.state, requestId);
  if (claim === undefined) return;
  claims.byRequest.delete(requestId);
  if (claim.status === 'won') releaseClaim(ctx, claim);
  else withdrawRecord(ctx.state, createClaimRecord(ctx.state, claim));
  claim.status = 'abandoned';
}

/** Records the outcome of a request that was dispatched under its claim. */
export function settleClaim(ctx: CoreContext, facts: RequestFacts, outcome: ClaimOutcome): void {
  const { claims, self, settings } = ctx.state;
  const claim = findOwnClaim(ctx.state, facts.requestId);
  if (claim?.status !== 'won') return;
  const isSmall = (outcome.answer?.body.length ?? Infinity) <= settings.recordedAnswerBytes;
  const recordedOutcome: ClaimOutcome = isSmall ? outcome : { executed: outcome.executed };
  claims.byRequest.delete(facts.requestId);
  claims.own.delete(claim.claimId);
  storeOutcome(ctx.state, keyIdOf(facts.customer, claim.key), recordedOutcome);
  submitRecord(ctx, {
    type: 'outcome',
    id: claim.claimId,
    customer: facts.customer,
    key: claim.key,
    fingerprint: facts.fingerprint,
    instance: self.id,
    incarnation: self.incarnation,
    ...recordedOutcome,
  });
  requestRead(ctx);
}

/** Appends a release, after which the key of a won but unused claim can be claimed again. */
export function releaseClaim(ctx: CoreContext, claim: OwnClaim): void {
  submitRecord(ctx, {
    type: 'release',
    id: claim.claimId,
    customer: claim.facts.customer,
    key: claim.key,
  });
  requestRead(ctx);
}
