/** The end of a claim: given up, or settled by the outcome of its request. */
import type { CoreContext } from '../context.js';
import type { RequestFacts, RequestId } from '../types.js';
import { knownKeyOf, type ClaimOutcome, type OwnClaim } from './claimsState.js';
import { keepOutcome } from './knownKeys.js';
import { requestRead } from './logReader.js';
import { claimRecordOf, ownClaim } from './ownClaims.js';
import { submitRecord, withdrawRecord } from './submission.js';

/** Gives up the claim of a request that has certainly not been run. */
export function abandonClaim(ctx: CoreContext, requestId: RequestId): void {
  const { claims } = ctx.state;
  const claim = ownClaim(ctx.state, requestId);
  if (claim === undefined) return;
  claims.byRequest.delete(requestId);
  if (claim.status === 'won') releaseClaim(ctx, claim);
  else withdrawRecord(ctx.state, claimRecordOf(ctx.state, claim));
  claim.status = 'abandoned';
}

/** Records the outcome of a request that was dispatched under its claim. */
export function settleClaim(ctx: CoreContext, facts: RequestFacts, outcome: ClaimOutcome): void {
  const { claims, self, settings } = ctx.state;
  const claim = ownClaim(ctx.state, facts.requestId);
  if (claim?.status !== 'won') return;
  const isSmall = (outcome.answer?.body.length ?? Infinity) <= settings.recordedAnswerBytes;
  const kept: ClaimOutcome = isSmall ? outcome : { executed: outcome.executed };
  claims.byRequest.delete(facts.requestId);
  claims.own.delete(claim.claimId);
  keepOutcome(ctx.state, knownKeyOf(facts.customer, claim.key), kept);
  submitRecord(ctx, {
    type: 'outcome',
    id: claim.claimId,
    customer: facts.customer,
    key: claim.key,
    fingerprint: facts.fingerprint,
    instance: self.id,
    incarnation: self.incarnation,
    ...kept,
  });
  requestRead(ctx);
}

/** Tells all readers that a won claim has not been used and never will be. */
export function releaseClaim(ctx: CoreContext, claim: OwnClaim): void {
  submitRecord(ctx, {
    type: 'release',
    id: claim.claimId,
    customer: claim.facts.customer,
    key: claim.key,
  });
  requestRead(ctx);
}
