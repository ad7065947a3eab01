/**
 * The keys known from the claims stream. Every instance folds the records in log order by the same
 * rules, so all agree on the winner of a key without a message.
 *
 * A key is forgotten once none of its records has been read for `claimMemoryMs`. A claim that loses
 * counts as a record of the key, which is what makes forgetting at different times harmless: of two
 * claims within that time, the later one meets the earlier one in every reader's memory.
 */
import type { Millis } from '../clock.js';
import type { CoreState } from '../state.js';
import {
  knownKeyOf,
  type ClaimOutcome,
  type ClaimsState,
  type KnownKey,
  type KnownKeyId,
} from './claimsState.js';
import type { ClaimRecord, ClaimsRecord, OutcomeRecord, ReleaseRecord } from './records.js';

/** Released claims that are kept per key to recognise late copies. */
const MAX_RELEASED = 4;

/** Folds one record. */
export function foldRecord(
  state: CoreState,
  record: ClaimsRecord,
  offset: number,
  now: Millis,
): KnownKey {
  const { claims } = state;
  const id = knownKeyOf(record.customer, record.key);
  const known = touch(claims, id, offset, now);
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

export function knownKey(state: CoreState, id: KnownKeyId): KnownKey | undefined {
  return state.claims.known.get(id);
}

/** Keeps the outcome of a key, its answer as long as the memory for answers lasts. */
export function keepOutcome(state: CoreState, id: KnownKeyId, outcome: ClaimOutcome): void {
  const { claims } = state;
  const known = claims.known.get(id);
  if (known === undefined) return;
  dropAnswer(claims, id);
  known.outcome = outcome;
  if (outcome.answer === undefined) return;
  claims.answers.set(id, outcome.answer.body.length);
  claims.answerBytes += outcome.answer.body.length;
  for (const oldest of claims.answers.keys()) {
    if (claims.answerBytes <= state.settings.answerMemoryBytes) return;
    dropAnswer(claims, oldest);
  }
}

/** Forgets the keys of which no record was read for a long time. */
export function forgetOldKeys(state: CoreState, now: Millis): void {
  const { claims, settings } = state;
  for (const [id, known] of claims.known) {
    if (now - known.readAt <= settings.claimMemoryMs) return;
    dropAnswer(claims, id);
    claims.known.delete(id);
  }
}

/** Returns the offset before which no record matters any more. */
export function oldestOffset(claims: ClaimsState): number {
  let oldest = claims.next;
  claims.known.forEach((known) => {
    oldest = Math.min(oldest, known.firstOffset);
  });
  return oldest;
}

function touch(claims: ClaimsState, id: KnownKeyId, offset: number, now: Millis): KnownKey {
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

function foldClaim(known: KnownKey, record: ClaimRecord): void {
  if (known.holder !== undefined || known.released.includes(record.id)) return;
  known.holder = {
    claimId: record.id,
    instance: record.instance,
    incarnation: record.incarnation,
    fingerprint: record.fingerprint,
  };
}

function foldRelease(known: KnownKey, record: ReleaseRecord): void {
  if (known.holder?.claimId !== record.id || known.outcome !== undefined) return;
  known.holder = undefined;
  known.released.push(record.id);
  if (known.released.length > MAX_RELEASED) known.released.shift();
}

/** An outcome whose claim was not read, since it has expired, stands for the claim too. */
function foldOutcome(
  state: CoreState,
  id: KnownKeyId,
  known: KnownKey,
  record: OutcomeRecord,
): void {
  if (known.holder !== undefined && known.holder.claimId !== record.id) return;
  known.holder ??= {
    claimId: record.id,
    instance: record.instance,
    incarnation: record.incarnation,
    fingerprint: record.fingerprint,
  };
  const { executed, answer } = record;
  keepOutcome(state, id, answer === undefined ? { executed } : { executed, answer });
}

function dropAnswer(claims: ClaimsState, id: KnownKeyId): void {
  const bytes = claims.answers.get(id);
  if (bytes === undefined) return;
  claims.answers.delete(id);
  claims.answerBytes -= bytes;
  const known = claims.known.get(id);
  if (known?.outcome !== undefined) known.outcome = { executed: known.outcome.executed };
}
