/**
 * Admission: validates a request against the configuration and the state of this instance, then
 * queues it or refuses it as not executed.
 */
import { requestClaim } from '../claims/claims.js';
import type { CoreContext } from '../context.js';
import type { DiagnosticArgs, DiagnosticCode } from '../diagnostics.js';
import { enqueue } from '../dispatch/queues.js';
import { admitRequest } from '../limits/limits.js';
import { refuseQuarantined } from '../quarantine/quarantine.js';
import type {
  CallerRequestEvent,
  ConfigurationView,
  NotRunProblem,
  PoolConfig,
  RequestFacts,
  ProcessingStep,
} from '../types.js';

const UNAVAILABLE = 503;

export function onCallerRequest(ctx: CoreContext, event: CallerRequestEvent): void {
  const { view } = ctx.state.configuration;
  if (view === undefined) {
    refuseWithCode(ctx, event, 'notReady', UNAVAILABLE, 'receive');
    return;
  }
  if (ctx.state.drain.isStopping) {
    refuseWithCode(ctx, event, 'instanceStopping', UNAVAILABLE, 'receive');
    return;
  }
  const customer = view.customersByKey.get(event.keyHash);
  if (customer === undefined) {
    refuseWithCode(ctx, event, 'unknownKey', 401, 'authenticate');
    return;
  }
  const pool = view.pools.get(event.pool);
  if (pool === undefined) {
    refuseWithCode(ctx, event, 'unknownPool', 404, 'route', { pool: event.pool });
    return;
  }
  const admission = admitRequest(ctx, customer, event.bodyBytes);
  if (admission.kind === 'refused') {
    emitRefusal(ctx, event, admission.problem);
    return;
  }
  const facts = createRequestFacts(ctx, event, view, pool, customer);
  ctx.state.requests.active.set(facts.requestId, {
    state: 'waiting',
    facts,
    since: ctx.now,
    tried: [],
  });
  if (refuseQuarantined(ctx, facts)) return;
  enqueue(ctx, facts);
  requestClaim(ctx, facts);
}

function createRequestFacts(
  ctx: CoreContext,
  event: CallerRequestEvent,
  view: ConfigurationView,
  pool: PoolConfig,
  customer: number,
): RequestFacts {
  return {
    requestId: event.requestId,
    customer,
    pool: pool.id,
    idempotent: event.idempotent ?? isIdempotentByRoute(event, view, pool),
    ...(event.idempotencyKey === undefined ? {} : { idempotencyKey: event.idempotencyKey }),
    fingerprint: event.fingerprint,
    bodyBytes: event.bodyBytes,
    promptTokens: event.promptTokens,
    ...(event.costHint === undefined ? {} : { costHint: event.costHint }),
    prefixBlocks: event.prefixBlocks,
    streamed: event.streamed,
    arrivedAt: ctx.now,
    deadlineAt: ctx.now + (event.deadlineInMs ?? ctx.state.settings.defaultDeadlineMs),
  };
}

/** Uses the route with the longest matching prefix, or the default of the pool if none matches. */
function isIdempotentByRoute(
  event: CallerRequestEvent,
  view: ConfigurationView,
  pool: PoolConfig,
): boolean {
  let longest = -1;
  let idempotent = pool.idempotentByDefault;
  for (const route of view.routes) {
    const matches =
      route.pool === pool.id &&
      event.path.startsWith(route.pathPrefix) &&
      (route.methods.length === 0 || route.methods.includes(event.method));
    if (matches && route.pathPrefix.length > longest) {
      longest = route.pathPrefix.length;
      idempotent = route.idempotent;
    }
  }
  return idempotent;
}

function refuseWithCode(
  ctx: CoreContext,
  event: CallerRequestEvent,
  code: DiagnosticCode,
  status: number,
  step: ProcessingStep,
  args: DiagnosticArgs = {},
): void {
  const isTransient = status === UNAVAILABLE;
  const problem: NotRunProblem = {
    code,
    status,
    executed: 'no',
    step,
    peer: { kind: 'self' },
    args,
    ...(isTransient ? { retryAfterMs: ctx.state.settings.retryAfterMs } : {}),
  };
  emitRefusal(ctx, event, problem);
}

/**
 * Reports a refusal to the caller. If the request has an idempotency key and the caller has not
 * marked it as idempotent, a transient refusal is reported as `unknown`: an earlier submission with
 * the same key may have been executed without this instance knowing of it yet.
 */
function emitRefusal(ctx: CoreContext, event: CallerRequestEvent, problem: NotRunProblem): void {
  const { requestId, idempotencyKey, idempotent } = event;
  const isTransient = problem.retryAfterMs !== undefined;
  if (isTransient && idempotencyKey !== undefined && idempotent !== true) {
    ctx.emit({ kind: 'fail', requestId, problem: { ...problem, executed: 'unknown' } });
    return;
  }
  ctx.emit({ kind: 'refuse', requestId, problem });
}
