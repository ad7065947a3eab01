/** Lookups of this instance's own claims. */
import type { Millis } from '../clock.js';
import type { CoreState } from '../state.js';
import type { RequestFacts, RequestId } from '../types.js';
import type { OwnClaim } from './claimsState.js';
import type { ClaimRecord } from './records.js';

/** Whether a request may be dispatched only under a claim. */
export function needsClaim(facts: RequestFacts): boolean {
  return !facts.idempotent && facts.idempotencyKey !== undefined;
}

/** Whether a request's claim allows a dispatch, as far as it depends on no time. */
export function isClaimWon(state: CoreState, facts: RequestFacts): boolean {
  return !needsClaim(facts) || ownClaim(state, facts.requestId)?.status === 'won';
}

/** Time after which a request must not be dispatched under its claim any more. */
export function claimExpiry(state: CoreState, facts: RequestFacts): Millis | undefined {
  const claim = ownClaim(state, facts.requestId);
  return claim && claim.submittedAt + state.settings.claimHoldMs;
}

/** Returns the claim of a request, if it has one. */
export function ownClaim(state: CoreState, requestId: RequestId): OwnClaim | undefined {
  const id = state.claims.byRequest.get(requestId);
  return id === undefined ? undefined : state.claims.own.get(id);
}

/** Returns the record that makes a claim. */
export function claimRecordOf(state: CoreState, claim: OwnClaim): ClaimRecord {
  return {
    type: 'claim',
    id: claim.claimId,
    customer: claim.facts.customer,
    key: claim.key,
    fingerprint: claim.facts.fingerprint,
    instance: state.self.id,
    incarnation: state.self.incarnation,
  };
}

/** Number of records of this instance that are not known to be in the log. */
export function unsettledRecords(state: CoreState): number {
  return state.claims.unseen.size;
}
