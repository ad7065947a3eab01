/**
 * Compares the outcomes at the callers with the executions recorded by the upstreams, after a load:
 * a request refused as not executed must not have been executed, and a non-idempotent request must
 * have been executed at most once.
 */
import type { Millis } from '../../core/clock.js';
import { questionHash } from '../../standins/content.js';
import { bodyHash, type ExecutionCounts } from '../../standins/service.js';
import type { EngineLog } from '../../standins/engineState.js';
import type { Arrival } from './arrivals.js';
import type { LoadFile } from './loadFile.js';
import { fetchJson } from './observe.js';
import type { Outcome } from './outcome.js';

/** Execution records of a long load are large, hence the long timeout. */
const RECORDS_TIMEOUT_MS: Millis = 30_000;

/** A request and its outcome. */
export interface EndedRequest {
  readonly arrival: Arrival;
  readonly outcome: Outcome;
  /** Time between the start of the load and the end of the request. */
  readonly endedAtMs: Millis;
}

export interface ExecutionReport {
  /** Requests that were refused as not executed, although an upstream executed them. */
  readonly falseRefusals: readonly string[];
  /** Non-idempotent requests that were executed more than once. */
  readonly doubled: readonly string[];
  /** Served calls that no service executed. */
  readonly servedNotRun: readonly string[];
  /** Upstreams whose records could not be read. If there are any, the check is incomplete. */
  readonly unread: readonly string[];
}

/** Compares the requests with the execution records of all upstreams of the load file. */
export async function checkExecutions(
  file: LoadFile,
  requests: readonly EndedRequest[],
): Promise<ExecutionReport> {
  const logs = await readRecords(file.engines, async (url) =>
    fetchJson<EngineLog>(`${url}/_control/log`, RECORDS_TIMEOUT_MS),
  );
  const counts = await readRecords(file.services, async (url) =>
    fetchJson<ExecutionCounts>(`${url}/_control/executions`, RECORDS_TIMEOUT_MS),
  );
  const ranAtEngine = new Set(
    logs.found.flatMap(({ attempts }) =>
      attempts.filter(({ admitted }) => admitted).map(({ question }) => question),
    ),
  );
  const executions = (arrival: Arrival): number => {
    if (arrival.kind === 'completion') {
      return ranAtEngine.has(questionHash(arrival.question)) ? 1 : 0;
    }
    const hash = bodyHash(arrival.body);
    return counts.found.reduce((sum, { byBody }) => sum + (byBody[hash] ?? 0), 0);
  };

  const uniqueKeys = (matches: (request: EndedRequest) => boolean) => [
    ...new Set(requests.filter(matches).map(({ arrival }) => keyOf(arrival))),
  ];
  const requestsByKey = groupByKey(requests);
  const hasRecords = ({ arrival: { work } }: EndedRequest) => hasServiceOf(file, work.pool);
  return {
    falseRefusals: uniqueKeys(
      (request) =>
        request.outcome.kind === 'refused' &&
        (request.arrival.kind === 'completion' || hasUniqueBody(request)) &&
        executions(request.arrival) > 0 &&
        !mayHaveRunLater(request, requestsByKey.get(keyOf(request.arrival)) ?? []),
    ),
    doubled: uniqueKeys(
      (request) =>
        hasUniqueBody(request) &&
        request.arrival.kind === 'call' &&
        !request.arrival.work.idempotent &&
        executions(request.arrival) > 1,
    ),
    servedNotRun: uniqueKeys(
      (request) =>
        request.outcome.kind === 'served' &&
        hasUniqueBody(request) &&
        hasRecords(request) &&
        counts.unread.length === 0 &&
        executions(request.arrival) === 0,
    ),
    unread: [...logs.unread, ...counts.unread],
  };
}

/** Returns the key that a request shares with its repeats. */
function keyOf(arrival: Arrival): string {
  return arrival.kind === 'call' ? arrival.key : arrival.id;
}

/** Whether the request is a call with a body. Only its repeats have the same body. */
function hasUniqueBody({ arrival }: EndedRequest): boolean {
  return arrival.kind === 'call' && arrival.work.method !== 'GET';
}

function groupByKey(requests: readonly EndedRequest[]): ReadonlyMap<string, EndedRequest[]> {
  const groups = new Map<string, EndedRequest[]>();
  for (const request of requests) {
    const key = keyOf(request.arrival);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [request]);
    else group.push(request);
  }
  return groups;
}

/**
 * Whether another request with the same key was still in flight when this one was refused, and was
 * not refused itself. The execution may then belong to that request, and the refusal was correct.
 */
function mayHaveRunLater(refused: EndedRequest, requests: readonly EndedRequest[]): boolean {
  return requests.some(
    ({ outcome, endedAtMs }) => outcome.kind !== 'refused' && endedAtMs > refused.endedAtMs,
  );
}

function hasServiceOf(file: LoadFile, pool: string): boolean {
  return file.services.some((service) => service.pool === pool);
}

async function readRecords<T>(
  targets: readonly { readonly name: string; readonly url: string }[],
  read: (url: string) => Promise<T | undefined>,
): Promise<{ readonly found: readonly T[]; readonly unread: readonly string[] }> {
  const results = await Promise.all(
    targets.map(async ({ name, url }) => ({ name, value: await read(url) })),
  );
  return {
    found: results.flatMap(({ value }) => (value === undefined ? [] : [value])),
    unread: results.filter(({ value }) => value === undefined).map(({ name }) => name),
  };
}
