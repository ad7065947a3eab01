/** Lookups of this instance's own claims. */
import type { Millis } from '../clock.js';
import type { CoreState } from '../state.js';
import type { RequestFacts, RequestId } from '../types.js';
import type { OwnClaim } from './claimsState.js';
import type { ClaimRecord } from './records.js';

/** Whether a request needs a claim before dispatch: it is not idempotent and has a key. */
export function needsClaim(facts: RequestFacts): boolean {
  return !facts.idempotent && facts.idempotencyKey !== undefined;
}

/** Whether a request needs no claim or has won it. Does not check the claim's expiry. */
export function isClaimWon(state: CoreState, facts: RequestFacts): boolean {
  return !needsClaim(facts) || findOwnClaim(state, facts.requestId)?.status === 'won';
}

/** Returns the time from which a request must not be dispatched under its claim, if it has one. */
export function claimExpiry(state: CoreState, facts: RequestFacts): Millis | undefined {
  const claim = findOwnClaim(state, facts.requestId);
  return claim && claim.submittedAt + state.settings.claimHoldMs;
}

/** Returns the claim of a request, if it has one. */
export function findOwnClaim(state: CoreState, requestId: RequestId): OwnClaim | undefined {
  const id = state.claims.byRequest.get(requestId);
  return id === undefined ? undefined : state.claims.own.get(id);
}

/** Creates the log record of a claim. */
export function createClaimRecord(state: CoreState, claim: OwnClaim): ClaimRecord {
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

/** Returns the number of records of this instance that have not been read back from the log. */
export function countUnconfirmedRecords(state: CoreState): number {
  return state.claims.unseen.size;
}
