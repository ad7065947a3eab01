/**
 * Duplicates: requests whose idempotency key is held by another request. They are never run. Their
 * answer describes the operation under the key: its recorded answer, that it has run, or that it is
 * running or may have run.
 */
import { sendToInstance, type CoreContext } from '../context.js';
import {
  failRequest,
  isUnexecuted,
  refuseWithKnownKey,
  replayRequest,
} from '../requests/outcomes.js';
import type { DiagnosticCode } from '../diagnostics.js';
import type {
  ExecutionStatus,
  InstanceId,
  ProblemSource,
  PeerMessageOf,
  Problem,
  RecordedAnswer,
  RequestFacts,
} from '../types.js';
import { keyIdOf, type ClaimHolder, type ClaimOutcome, type KeyState } from './claimsState.js';
import { getKeyState } from './knownKeys.js';

const CONFLICT = 409;
const UNPROCESSABLE = 422;
const UNAVAILABLE = 503;

/** Values of `OutcomeReply.state`. */
const STATE_UNKNOWN = 0;
const STATE_RUNNING = 1;
const STATE_ENDED = 2;

/** Answers a duplicate from the outcome in the log, or asks the holder if there is none yet. */
export function answerDuplicate(ctx: CoreContext, facts: RequestFacts, known: KeyState): void {
  const { holder, outcome } = known;
  if (holder === undefined || !checkFingerprint(ctx, facts, holder)) return;
  if (outcome !== undefined) {
    answerWithOutcome(ctx, facts, outcome);
    return;
  }
  if (holder.instance === ctx.state.self.id) answerForOwnClaim(ctx, facts, holder);
  else queryHolder(ctx, facts, holder);
}

/** Replies to another instance with the outcome of a key that this instance holds. */
export function onOutcomeQuery(
  ctx: CoreContext,
  from: InstanceId,
  query: PeerMessageOf<'outcomeQuery'>,
): void {
  const known = getKeyState(ctx.state, keyIdOf(query.customer, query.key));
  const answer = known?.outcome?.answer;
  sendToInstance(ctx, from, {
    $case: 'outcomeReply',
    value: {
      queryId: query.queryId,
      state: outcomeStateOf(ctx, known),
      status: answer?.status ?? 0,
      contentType: answer?.contentType ?? '',
      body: answer?.body ?? new Uint8Array(),
    },
  });
}

export function onOutcomeReply(ctx: CoreContext, reply: PeerMessageOf<'outcomeReply'>): void {
  const { claims, requests } = ctx.state;
  const query = claims.queries.get(reply.queryId);
  if (query === undefined) return;
  claims.queries.delete(reply.queryId);
  const facts = requests.active.get(query.requestId)?.facts;
  if (facts === undefined) return;
  if (reply.state === STATE_ENDED) answerWithOutcome(ctx, facts, outcomeOf(reply));
  else failKeyInUse(ctx, facts);
}

/** Answers requests whose query timed out or whose outcome has since been read from the log. */
export function expireQueries(ctx: CoreContext): void {
  const { claims, requests, settings } = ctx.state;
  claims.queries.forEach((query, id) => {
    const outcome = claims.known.get(query.knownKey)?.outcome;
    if (outcome === undefined && ctx.now - query.sentAt < settings.outcomeQueryMs) return;
    claims.queries.delete(id);
    const facts = requests.active.get(query.requestId)?.facts;
    if (facts === undefined) return;
    if (outcome === undefined) failKeyInUse(ctx, facts);
    else answerWithOutcome(ctx, facts, outcome);
  });
}

/** Returns whether the request equals the one that holds its key; refuses it if it does not. */
function checkFingerprint(ctx: CoreContext, facts: RequestFacts, holder: ClaimHolder): boolean {
  if (holder.fingerprint === facts.fingerprint) return true;
  refuseDuplicate(ctx, facts, 'keyReused', UNPROCESSABLE);
  return false;
}

function answerWithOutcome(ctx: CoreContext, facts: RequestFacts, outcome: ClaimOutcome): void {
  if (outcome.answer !== undefined) replayRequest(ctx, facts, outcome.answer);
  else failDuplicate(ctx, facts, 'keyEnded', outcome.executed, { kind: 'self' });
}

/** Answers a duplicate whose key is held by this instance or by an earlier incarnation of it. */
function answerForOwnClaim(ctx: CoreContext, facts: RequestFacts, holder: ClaimHolder): void {
  const claim = ctx.state.claims.own.get(holder.claimId);
  if (claim?.status === 'abandoned') refuseDuplicate(ctx, facts, 'claimNotSettled', UNAVAILABLE);
  else failKeyInUse(ctx, facts);
}

function queryHolder(ctx: CoreContext, facts: RequestFacts, holder: ClaimHolder): void {
  const { claims, membership } = ctx.state;
  const member = membership.members.get(holder.instance);
  if (member?.incarnation !== holder.incarnation) {
    failKeyInUse(ctx, facts);
    return;
  }
  const queryId = claims.nextQuery;
  claims.nextQuery += 1;
  const key = facts.idempotencyKey as string;
  const keyId = keyIdOf(facts.customer, key);
  claims.queries.set(queryId, {
    requestId: facts.requestId,
    knownKey: keyId,
    sentAt: ctx.now,
  });
  sendToInstance(ctx, holder.instance, {
    $case: 'outcomeQuery',
    value: { queryId, customer: facts.customer, key },
  });
}

function outcomeStateOf(ctx: CoreContext, known: KeyState | undefined): number {
  if (known?.outcome !== undefined) return STATE_ENDED;
  const isOwn = known?.holder !== undefined && ctx.state.claims.own.has(known.holder.claimId);
  return isOwn ? STATE_RUNNING : STATE_UNKNOWN;
}

function outcomeOf(reply: PeerMessageOf<'outcomeReply'>): ClaimOutcome {
  if (reply.status === 0) return { executed: 'unknown' };
  const { status, contentType, body } = reply;
  const answer: RecordedAnswer = { status, contentType, body };
  return { executed: 'yes', answer };
}

function failKeyInUse(ctx: CoreContext, facts: RequestFacts): void {
  failDuplicate(ctx, facts, 'keyInUse', 'unknown', { kind: 'self' });
}

function failDuplicate(
  ctx: CoreContext,
  facts: RequestFacts,
  code: DiagnosticCode,
  executed: ExecutionStatus,
  peer: ProblemSource,
): void {
  const request = ctx.state.requests.active.get(facts.requestId);
  if (request === undefined) return;
  failRequest(ctx, request, { ...createProblem(ctx, code, CONFLICT, peer), executed });
}

function refuseDuplicate(
  ctx: CoreContext,
  facts: RequestFacts,
  code: DiagnosticCode,
  status: number,
): void {
  const request = ctx.state.requests.active.get(facts.requestId);
  if (request === undefined || !isUnexecuted(request)) return;
  const details = createProblem(ctx, code, status, { kind: 'self' });
  refuseWithKnownKey(ctx, request, { ...details, executed: 'no' });
}

function createProblem(
  ctx: CoreContext,
  code: DiagnosticCode,
  status: number,
  peer: ProblemSource,
): Omit<Problem, 'executed'> {
  return { code, status, step: 'claim', peer, retryAfterMs: ctx.state.settings.retryAfterMs };
}
