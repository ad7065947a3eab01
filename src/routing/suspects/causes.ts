/**
 * What of a request can crash an upstream: the request as a whole, or any part of its prompt. Requests
 * that share a part need not be alike otherwise.
 */
import { mixHashes } from '../../core/hash.js';
import { hashPart } from '../placement/prompt.js';
import type { RequestFacts } from '../types.js';

/** Hash of a request's fingerprint, or of a part of its prompt and the model that reads it. */
export type CauseHash = number;

/** Keeps the hashes of fingerprints apart from those of parts. */
const FINGERPRINT_SALT = 0x5eed;
/** Maximum number of parts considered at either end of a prompt. */
const MAX_PARTS_AT_END = 32;

/** A possible cause, with its name in the request if it is a part. */
export interface NamedCause {
  readonly hash: CauseHash;
  readonly part?: string;
  /** Whether the cause is the request as a whole. */
  readonly isWhole: boolean;
}

/** Returns the possible causes of a crash while a request ran. */
export function namedCausesOf(facts: RequestFacts): readonly NamedCause[] {
  const whole = { hash: mixHashes(facts.fingerprint, FINGERPRINT_SALT), isWhole: true };
  const { prefix } = facts;
  const parts =
    prefix.length <= 2 * MAX_PARTS_AT_END
      ? prefix
      : [...prefix.slice(0, MAX_PARTS_AT_END), ...prefix.slice(-MAX_PARTS_AT_END)];
  return [
    whole,
    ...parts.map(({ id }) => ({ hash: hashPart(facts, id), part: id, isWhole: false })),
  ];
}

export function causesOf(facts: RequestFacts): readonly CauseHash[] {
  return namedCausesOf(facts).map(({ hash }) => hash);
}
