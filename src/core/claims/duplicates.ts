/**
 * Duplicates: requests whose key another request holds. They are never run. What their caller is
 * told speaks of the operation under the key: its recorded answer, that it has run, or that it runs
 * or may have run.
 */
import { sendTo, type CoreContext } from '../context.js';
import { failRequest, isUntried, refuseSettledKey, replayRequest } from '../requests/outcomes.js';
import type { DiagnosticCode } from '../diagnostics.js';
import type {
  Executed,
  InstanceId,
  Peer,
  PeerMessageOf,
  Problem,
  RecordedAnswer,
  RequestFacts,
} from '../types.js';
import { knownKeyOf, type ClaimHolder, type ClaimOutcome, type KnownKey } from './claimsState.js';
import { knownKey } from './knownKeys.js';

const CONFLICT = 409;
const UNPROCESSABLE = 422;
const UNAVAILABLE = 503;

/** `OutcomeReply.state` */
const NOT_KNOWN = 0;
const RUNNING = 1;
const ENDED = 2;

/** Answers a request whose key is held, asking the holder if the log does not tell the outcome. */
export function answerDuplicate(ctx: CoreContext, facts: RequestFacts, known: KnownKey): void {
  const { holder, outcome } = known;
  if (holder === undefined || !refuseUnlike(ctx, facts, holder)) return;
  if (outcome !== undefined) {
    answerWith(ctx, facts, outcome);
    return;
  }
  if (holder.instance === ctx.state.self.id) answerOwn(ctx, facts, holder);
  else askHolder(ctx, facts, holder);
}

/** Tells another instance what became of a key that this instance holds. */
export function onOutcomeQuery(
  ctx: CoreContext,
  from: InstanceId,
  query: PeerMessageOf<'outcomeQuery'>,
): void {
  const known = knownKey(ctx.state, knownKeyOf(query.customer, query.key));
  const answer = known?.outcome?.answer;
  sendTo(ctx, from, {
    $case: 'outcomeReply',
    value: {
      queryId: query.queryId,
      state: replyState(ctx, known),
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
  if (reply.state === ENDED) answerWith(ctx, facts, outcomeOf(reply));
  else answerInUse(ctx, facts);
}

/** Answers the requests whose holder was asked in vain. */
export function expireQueries(ctx: CoreContext): void {
  const { claims, requests, settings } = ctx.state;
  claims.queries.forEach((query, id) => {
    const outcome = claims.known.get(query.knownKey)?.outcome;
    if (outcome === undefined && ctx.now - query.sentAt < settings.outcomeQueryMs) return;
    claims.queries.delete(id);
    const facts = requests.active.get(query.requestId)?.facts;
    if (facts === undefined) return;
    if (outcome === undefined) answerInUse(ctx, facts);
    else answerWith(ctx, facts, outcome);
  });
}

/** Refuses a request that differs from the one that holds its key; false if it did. */
function refuseUnlike(ctx: CoreContext, facts: RequestFacts, holder: ClaimHolder): boolean {
  if (holder.fingerprint === facts.fingerprint) return true;
  refuse(ctx, facts, 'keyReused', UNPROCESSABLE);
  return false;
}

function answerWith(ctx: CoreContext, facts: RequestFacts, outcome: ClaimOutcome): void {
  if (outcome.answer !== undefined) replayRequest(ctx, facts, outcome.answer);
  else fail(ctx, facts, 'keyEnded', outcome.executed, { kind: 'self' });
}

/** The holder is a request of this instance, or of an earlier start of it. */
function answerOwn(ctx: CoreContext, facts: RequestFacts, holder: ClaimHolder): void {
  const claim = ctx.state.claims.own.get(holder.claimId);
  if (claim?.status === 'abandoned') refuse(ctx, facts, 'claimNotSettled', UNAVAILABLE);
  else answerInUse(ctx, facts);
}

function askHolder(ctx: CoreContext, facts: RequestFacts, holder: ClaimHolder): void {
  const { claims, membership } = ctx.state;
  const member = membership.members.get(holder.instance);
  if (member?.incarnation !== holder.incarnation) {
    answerInUse(ctx, facts);
    return;
  }
  const queryId = claims.nextQuery;
  claims.nextQuery += 1;
  const key = facts.idempotencyKey as string;
  const knownKeyId = knownKeyOf(facts.customer, key);
  claims.queries.set(queryId, {
    requestId: facts.requestId,
    knownKey: knownKeyId,
    sentAt: ctx.now,
  });
  sendTo(ctx, holder.instance, {
    $case: 'outcomeQuery',
    value: { queryId, customer: facts.customer, key },
  });
}

function replyState(ctx: CoreContext, known: KnownKey | undefined): number {
  if (known?.outcome !== undefined) return ENDED;
  const isOwn = known?.holder !== undefined && ctx.state.claims.own.has(known.holder.claimId);
  return isOwn ? RUNNING : NOT_KNOWN;
}

function outcomeOf(reply: PeerMessageOf<'outcomeReply'>): ClaimOutcome {
  if (reply.status === 0) return { executed: 'unknown' };
  const { status, contentType, body } = reply;
  const answer: RecordedAnswer = { status, contentType, body };
  return { executed: 'yes', answer };
}

function answerInUse(ctx: CoreContext, facts: RequestFacts): void {
  fail(ctx, facts, 'keyInUse', 'unknown', { kind: 'self' });
}

function fail(
  ctx: CoreContext,
  facts: RequestFacts,
  code: DiagnosticCode,
  executed: Executed,
  peer: Peer,
): void {
  const request = ctx.state.requests.active.get(facts.requestId);
  if (request === undefined) return;
  failRequest(ctx, request, { ...problem(ctx, code, CONFLICT, peer), executed });
}

function refuse(ctx: CoreContext, facts: RequestFacts, code: DiagnosticCode, status: number): void {
  const request = ctx.state.requests.active.get(facts.requestId);
  if (request === undefined || !isUntried(request)) return;
  const told = problem(ctx, code, status, { kind: 'self' });
  refuseSettledKey(ctx, request, { ...told, executed: 'no' });
}

function problem(
  ctx: CoreContext,
  code: DiagnosticCode,
  status: number,
  peer: Peer,
): Omit<Problem, 'executed'> {
  return { code, status, step: 'claim', peer, retryAfterMs: ctx.state.settings.retryAfterMs };
}
