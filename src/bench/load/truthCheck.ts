/**
 * Compares what callers were told with what the upstreams ran, after a load: a request that was
 * refused as not run must not have run, and one that is not idempotent must have run at most once.
 */
import type { Millis } from '../../core/clock.js';
import { questionHash } from '../../standins/content.js';
import { bodyHash, type ExecutionCounts } from '../../standins/service.js';
import type { EngineLog } from '../../standins/engineState.js';
import type { Arrival } from './arrivals.js';
import type { LoadFile } from './loadFile.js';
import { readFrom } from './observe.js';
import type { Outcome } from './outcome.js';

/** Records of a long load are large. */
const RECORDS_TIMEOUT_MS: Millis = 30_000;

/** A request and how it ended. */
export interface EndedRequest {
  readonly arrival: Arrival;
  readonly outcome: Outcome;
  /** Time of the end since the start of the load. */
  readonly endedAtMs: Millis;
}

export interface TruthReport {
  /** Requests refused as not run that an upstream ran. */
  readonly falseRefusals: readonly string[];
  /** Requests that are not idempotent and ran more than once. */
  readonly doubled: readonly string[];
  /** Served calls that no service executed. */
  readonly servedNotRun: readonly string[];
  /** Upstreams whose records could not be read; the check is partial if there are any. */
  readonly unread: readonly string[];
}

/** Reads the records of all upstreams of the load file and compares. */
export async function checkTruth(
  file: LoadFile,
  requests: readonly EndedRequest[],
): Promise<TruthReport> {
  const logs = await readEach(file.engines, async (url) =>
    readFrom<EngineLog>(`${url}/_control/log`, RECORDS_TIMEOUT_MS),
  );
  const counts = await readEach(file.services, async (url) =>
    readFrom<ExecutionCounts>(`${url}/_control/executions`, RECORDS_TIMEOUT_MS),
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

  const firstByKey = (matches: (request: EndedRequest) => boolean) => [
    ...new Set(requests.filter(matches).map(({ arrival }) => keyOf(arrival))),
  ];
  const sendings = groupByKey(requests);
  const hasRecords = ({ arrival: { work } }: EndedRequest) => hasTargets(file, work.pool);
  return {
    falseRefusals: firstByKey(
      (request) =>
        request.outcome.kind === 'refused' &&
        (request.arrival.kind === 'completion' || hasOwnBody(request)) &&
        executions(request.arrival) > 0 &&
        !mayRunLater(request, sendings.get(keyOf(request.arrival)) ?? []),
    ),
    doubled: firstByKey(
      (request) =>
        hasOwnBody(request) &&
        request.arrival.kind === 'call' &&
        !request.arrival.work.idempotent &&
        executions(request.arrival) > 1,
    ),
    servedNotRun: firstByKey(
      (request) =>
        request.outcome.kind === 'served' &&
        hasOwnBody(request) &&
        hasRecords(request) &&
        counts.unread.length === 0 &&
        executions(request.arrival) === 0,
    ),
    unread: [...logs.unread, ...counts.unread],
  };
}

/** The name that all sendings of a request share. */
function keyOf(arrival: Arrival): string {
  return arrival.kind === 'call' ? arrival.key : arrival.id;
}

/** Whether no other request has the same body. */
function hasOwnBody({ arrival }: EndedRequest): boolean {
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
 * Whether a refused request can have run by another sending that had not ended when this one was
 * refused. The refusal was true then.
 */
function mayRunLater(refused: EndedRequest, sendings: readonly EndedRequest[]): boolean {
  return sendings.some(
    ({ outcome, endedAtMs }) => outcome.kind !== 'refused' && endedAtMs > refused.endedAtMs,
  );
}

function hasTargets(file: LoadFile, pool: string): boolean {
  return file.services.some((service) => service.pool === pool);
}

async function readEach<T>(
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
