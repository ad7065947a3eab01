/** What the promises of the product say of what callers and upstreams saw. */
import type { EngineRun } from '../../src/standins/platform/batchEngine.js';
import { eventText } from '../../src/standins/platform/batchEngine.js';

export type SoakKind = 'book' | 'look' | 'chat' | 'draft';

/** What a caller saw of one request. */
export interface SeenRequest {
  readonly id: string;
  readonly kind: SoakKind;
  readonly key: string;
  readonly instance: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Undefined if the connection ended without a whole answer. */
  readonly status: number | undefined;
  readonly text: string;
  readonly signature: string | undefined;
}

export interface SoakRecord {
  readonly requests: readonly SeenRequest[];
  readonly runs: readonly EngineRun[];
  /** Time at which the platform accepted that a key is gone. */
  readonly revokedAt: ReadonlyMap<string, number>;
  /** Ends of processes that nobody ordered. */
  readonly ownEnds: readonly string[];
  /** Time from which all faults are over and instances have had time to recover. */
  readonly recoveredAt: number;
}

export interface CheckOptions {
  readonly revokeMs: number;
  readonly events: number;
  /** Part of the requests that has to be served once all faults are over; 0 asks for none. */
  readonly servedPart: number;
}

/** Statuses that promise that a request has not run. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const REPEATABLE: ReadonlySet<SoakKind> = new Set(['look', 'chat']);

/** Returns a sentence for each promise that was broken. */
export function findBroken(record: SoakRecord, options: CheckOptions): readonly string[] {
  const runs = new Map<string, number>();
  record.runs.forEach(({ requestId }) => runs.set(requestId, (runs.get(requestId) ?? 0) + 1));
  const broken = record.requests.flatMap((seen) => [
    ...checkAnswer(seen, options),
    ...checkRuns(seen, runs.get(seen.id) ?? 0),
    ...checkKey(seen, runs.get(seen.id) ?? 0, record, options),
  ]);
  return [...broken, ...record.ownEnds, ...checkRecovery(record, options)];
}

function checkAnswer({ id, kind, status, text, signature }: SeenRequest, { events }: CheckOptions) {
  if (status !== 200) return [];
  const isStream = kind === 'chat' || kind === 'draft';
  const whole = isStream
    ? Array.from({ length: events }, (_, i) => eventText(i + 1)).join('')
    : `answer to ${id}`;
  if (text === whole && signature === `signed-${id}`) return [];
  return [`${id} (${kind}): not its own whole answer: ${JSON.stringify(text.slice(0, 200))}`];
}

function checkRuns({ id, kind, status }: SeenRequest, runs: number): readonly string[] {
  if (REPEATABLE.has(kind)) return [];
  if (runs > 1) return [`${id} (${kind}): ran ${runs} times`];
  const isRefused = status !== undefined && NOT_RUN.has(status);
  return isRefused && runs > 0 ? [`${id} (${kind}): refused with ${status} and has run`] : [];
}

function checkKey(
  { id, key, sentAt, status }: SeenRequest,
  runs: number,
  { revokedAt }: SoakRecord,
  { revokeMs }: CheckOptions,
): readonly string[] {
  const goneAt = revokedAt.get(key) ?? Infinity;
  if (sentAt > goneAt + revokeMs && runs > 0) {
    return [`${id}: ran ${Math.round(sentAt - goneAt)} ms after its key was taken away`];
  }
  const isDenied = status === 401 || status === 403 || status === 404;
  return isDenied && goneAt === Infinity ? [`${id}: denied with ${status} though allowed`] : [];
}

function checkRecovery({ requests, recoveredAt }: SoakRecord, { servedPart }: CheckOptions) {
  const late = requests.filter(({ sentAt }) => sentAt >= recoveredAt);
  const served = late.filter(({ status }) => status === 200 || status === 401).length;
  if (servedPart === 0 || (late.length > 0 && served >= late.length * servedPart)) return [];
  return [`${served} of ${late.length} requests were served after all faults`];
}
