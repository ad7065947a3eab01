/**
 * Keys read from the claims stream. Every instance folds the records in log order by the same
 * rules, so all instances agree on the winner of a key without exchanging messages.
 *
 * A key is forgotten when none of its records has been read for `claimMemoryMs`. Losing claims
 * count as records of the key, so it is safe that readers forget it at different times: if two
 * claims are less than that time apart, every reader still knows the earlier one when it reads the
 * later one.
 */
import type { Millis } from '../clock.js';
import type { CoreState } from '../state.js';
import {
  keyIdOf,
  type ClaimOutcome,
  type ClaimsState,
  type KeyState,
  type KeyId,
} from './claimsState.js';
import type { ClaimRecord, ClaimsRecord, OutcomeRecord, ReleaseRecord } from './records.js';

/** Released claims kept per key, to recognize late duplicates of their records. */
const MAX_RELEASED_CLAIMS = 4;

/** Folds one record and returns the state of its key. */
export function foldRecord(
  state: CoreState,
  record: ClaimsRecord,
  offset: number,
  now: Millis,
): KeyState {
  const { claims } = state;
  const id = keyIdOf(record.customer, record.key);
  const known = refreshKey(claims, id, offset, now);
  switch (record.type) {
    case 'claim':
      foldClaim(known, record);
      break;
    case 'release':
      foldRelease(known, record);
      break;
    case 'outcome':
      foldOutcome(state, id, known, record);
      break;
    default:
      break;
  }
  return known;
}

export function getKeyState(state: CoreState, id: KeyId): KeyState | undefined {
  return state.claims.known.get(id);
}

/** Stores the outcome of a key, and evicts the oldest answers beyond `answerMemoryBytes`. */
export function storeOutcome(state: CoreState, id: KeyId, outcome: ClaimOutcome): void {
  const { claims } = state;
  const known = claims.known.get(id);
  if (known === undefined) return;
  evictAnswer(claims, id);
  known.outcome = outcome;
  if (outcome.answer === undefined) return;
  claims.answers.set(id, outcome.answer.body.length);
  claims.answerBytes += outcome.answer.body.length;
  for (const oldest of claims.answers.keys()) {
    if (claims.answerBytes <= state.settings.answerMemoryBytes) return;
    evictAnswer(claims, oldest);
  }
}

/** Forgets keys of which no record was read for `claimMemoryMs`. */
export function expireKeys(state: CoreState, now: Millis): void {
  const { claims, settings } = state;
  for (const [id, known] of claims.known) {
    if (now - known.readAt <= settings.claimMemoryMs) return;
    evictAnswer(claims, id);
    claims.known.delete(id);
  }
}

/** Returns the offset before which no record is needed any more. */
export function oldestRetainedOffset(claims: ClaimsState): number {
  let oldest = claims.next;
  claims.known.forEach((known) => {
    oldest = Math.min(oldest, known.firstOffset);
  });
  return oldest;
}

function refreshKey(claims: ClaimsState, id: KeyId, offset: number, now: Millis): KeyState {
  const known = claims.known.get(id) ?? {
    holder: undefined,
    outcome: undefined,
    released: [],
    firstOffset: offset,
    readAt: now,
  };
  known.readAt = now;
  claims.known.delete(id);
  claims.known.set(id, known);
  return known;
}

function foldClaim(known: KeyState, record: ClaimRecord): void {
  if (known.holder !== undefined || known.released.includes(record.id)) return;
  known.holder = {
    claimId: record.id,
    instance: record.instance,
    incarnation: record.incarnation,
    fingerprint: record.fingerprint,
  };
}

function foldRelease(known: KeyState, record: ReleaseRecord): void {
  if (known.holder?.claimId !== record.id || known.outcome !== undefined) return;
  known.holder = undefined;
  known.released.push(record.id);
  if (known.released.length > MAX_RELEASED_CLAIMS) known.released.shift();
}

/** Folds an outcome. If its claim expired before it was read, the outcome also sets the holder. */
function foldOutcome(state: CoreState, id: KeyId, known: KeyState, record: OutcomeRecord): void {
  if (known.holder !== undefined && known.holder.claimId !== record.id) return;
  known.holder ??= {
    claimId: record.id,
    instance: record.instance,
    incarnation: record.incarnation,
    fingerprint: record.fingerprint,
  };
  const { executed, answer } = record;
  storeOutcome(state, id, answer === undefined ? { executed } : { executed, answer });
}

function evictAnswer(claims: ClaimsState, id: KeyId): void {
  const bytes = claims.answers.get(id);
  if (bytes === undefined) return;
  claims.answers.delete(id);
  claims.answerBytes -= bytes;
  const known = claims.known.get(id);
  if (known?.outcome !== undefined) known.outcome = { executed: known.outcome.executed };
}
