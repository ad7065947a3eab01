/**
 * Records of the claims stream and their JSON encoding.
 *
 * - `claim`: an instance requests the exclusive right to run a customer's key. The first claim of a
 *   key in log order wins; records with the same claim id are the same claim.
 * - `release`: the winner has not run the request and never will, so the next claim can win.
 * - `outcome`: the winner's request has ended; a small answer is included.
 */
import type { CustomerNumber, InstanceId, RecordedAnswer } from '../types.js';

/** Unique id of a claim: instance, incarnation and sequence number. */
export type ClaimId = string;

export interface ClaimRecord {
  readonly type: 'claim';
  readonly id: ClaimId;
  readonly customer: CustomerNumber;
  readonly key: string;
  readonly fingerprint: string;
  readonly instance: InstanceId;
  readonly incarnation: number;
}

export interface ReleaseRecord {
  readonly type: 'release';
  readonly id: ClaimId;
  readonly customer: CustomerNumber;
  readonly key: string;
}

export interface OutcomeRecord {
  readonly type: 'outcome';
  readonly id: ClaimId;
  readonly customer: CustomerNumber;
  readonly key: string;
  readonly fingerprint: string;
  readonly instance: InstanceId;
  readonly incarnation: number;
  readonly executed: 'yes' | 'unknown';
  readonly answer?: RecordedAnswer;
}

/** A record of the claims stream. */
export type ClaimsRecord = ClaimRecord | ReleaseRecord | OutcomeRecord;

/**
 * A record of the checkpoints stream: records of the claims stream before `from` are not needed.
 */
export interface CheckpointRecord {
  readonly type: 'checkpoint';
  readonly from: number;
}

interface EncodedAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64-encoded. */
  readonly body: string;
}

export function encodeRecord(record: ClaimsRecord | CheckpointRecord): string {
  if (record.type !== 'outcome' || record.answer === undefined) return JSON.stringify(record);
  return JSON.stringify({ ...record, answer: encodeAnswer(record.answer) });
}

/** Decodes a record of the claims stream; returns `undefined` if it is invalid. */
export function decodeRecord(data: string): ClaimsRecord | undefined {
  const value = parseObject(data);
  if (value === undefined || !hasClaimFields(value)) return undefined;
  switch (value.type) {
    case 'claim':
      return hasClaimant(value) ? (value as unknown as ClaimRecord) : undefined;
    case 'release':
      return value as unknown as ReleaseRecord;
    case 'outcome':
      return hasClaimant(value) ? decodeOutcome(value) : undefined;
    default:
      return undefined;
  }
}

/** Decodes a record of the checkpoints stream; returns `undefined` if it is invalid. */
export function decodeCheckpoint(data: string): CheckpointRecord | undefined {
  const value = parseObject(data);
  if (value?.type !== 'checkpoint' || typeof value.from !== 'number') return undefined;
  return { type: 'checkpoint', from: value.from };
}

type JsonObject = Readonly<Record<string, unknown>>;

function parseObject(data: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(data);
    return typeof value === 'object' && value !== null ? (value as JsonObject) : undefined;
  } catch {
    return undefined;
  }
}

function hasClaimFields(value: JsonObject): boolean {
  return (
    typeof value.id === 'string' &&
    typeof value.customer === 'number' &&
    typeof value.key === 'string'
  );
}

function hasClaimant(value: JsonObject): boolean {
  return (
    typeof value.fingerprint === 'string' &&
    typeof value.instance === 'string' &&
    typeof value.incarnation === 'number'
  );
}

function decodeOutcome(value: JsonObject): OutcomeRecord {
  const { answer, ...rest } = value;
  const outcome = {
    ...(rest as unknown as OutcomeRecord),
    executed: value.executed === 'yes' ? 'yes' : 'unknown',
  } as const;
  return isEncodedAnswer(answer) ? { ...outcome, answer: decodeAnswer(answer) } : outcome;
}

function isEncodedAnswer(value: unknown): value is EncodedAnswer {
  const answer = value as Partial<EncodedAnswer> | undefined;
  return (
    typeof answer?.status === 'number' &&
    typeof answer.contentType === 'string' &&
    typeof answer.body === 'string'
  );
}

function encodeAnswer(answer: RecordedAnswer): EncodedAnswer {
  const { status, contentType, body } = answer;
  return { status, contentType, body: btoa(String.fromCharCode(...body)) };
}

function decodeAnswer(answer: EncodedAnswer): RecordedAnswer {
  const { status, contentType, body } = answer;
  return { status, contentType, body: Uint8Array.from(atob(body), (c) => c.charCodeAt(0)) };
}
