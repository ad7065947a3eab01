/**
 * Sends the requests of a load through the instances that the balancer picks. If the connection to
 * an instance fails, the next one is tried.
 */
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import type { Millis } from '../../core/clock.js';
import { bodyHash, type ServiceReply } from '../../standins/service.js';
import type { Balancer } from './balancer.js';
import type { Arrival, CallArrival, CompletionArrival } from './arrivals.js';
import { checkWholeAnswer, createStreamCheck } from './answerCheck.js';
import {
  failedOutcome,
  parseProblemOutcome,
  parseObject,
  SERVED,
  wrongOutcome,
  type Outcome,
  type Progress,
} from './outcome.js';

const CONNECT_TIMEOUT_MS: Millis = 2_000;
const CONNECT_ERRORS: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const TIMEOUT_ERRORS: ReadonlySet<string> = new Set([
  'UND_ERR_HEADERS_TIMEOUT',
  'UND_ERR_BODY_TIMEOUT',
]);

export interface CallerOptions {
  readonly balancer: Balancer;
  /** Idle time (no byte received) after which a request counts as lost. */
  readonly timeoutMs: Millis;
}

export interface Caller {
  /** Sends a request; never rejects. */
  send: (arrival: Arrival, progress: Progress) => Promise<Outcome>;
  /** Closes all connections and aborts the requests on them. */
  close: () => Promise<void>;
}

interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Creates a caller with its own connection pool. */
export function createCaller(options: CallerOptions): Caller {
  const agent = new Agent({
    headersTimeout: options.timeoutMs,
    bodyTimeout: options.timeoutMs,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });

  /** Sends a call to the first instance to which a connection can be established. */
  async function request(
    call: HttpCall,
    [origin = '', ...others]: readonly string[],
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await agent.request({ ...call, origin });
    } catch (err) {
      if (!CONNECT_ERRORS.has(errorCodeOf(err)) || others.length === 0) throw err;
      return request(call, others);
    }
  }

  return {
    send: async (arrival, progress) => {
      try {
        const res = await request(toCall(arrival), options.balancer.order(arrival.instanceDraw));
        if (res.statusCode >= 400) {
          return parseProblemOutcome(res.statusCode, await res.body.text());
        }
        return await readAnswer(arrival, res, progress);
      } catch (err) {
        const code = errorCodeOf(err);
        if (TIMEOUT_ERRORS.has(code)) return { kind: 'lost', reason: code };
        return failedOutcome(CONNECT_ERRORS.has(code) ? 'no' : 'unknown', code);
      }
    },
    close: async () => agent.destroy(),
  };
}

function errorCodeOf(err: unknown): string {
  const { code, name } = err as { code?: string; name?: string };
  return code ?? name ?? 'error';
}

function toCall(arrival: Arrival): HttpCall {
  return arrival.kind === 'completion' ? toCompletionCall(arrival) : toServiceCall(arrival);
}

function commonHeaders({ id, customer, work }: Arrival): Record<string, string> {
  const { deadlineMs } = work;
  return {
    authorization: `Bearer ${customer.key}`,
    'x-request-id': id,
    ...(deadlineMs === undefined ? {} : { 'x-deadline-ms': String(deadlineMs) }),
  };
}

function toCompletionCall(arrival: CompletionArrival): HttpCall {
  const { work, system, question, maxTokens, costHint } = arrival;
  const messages = [{ role: 'user', content: question }];
  const withSystem = system === '' ? messages : [{ role: 'system', content: system }, ...messages];
  return {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {
      ...commonHeaders(arrival),
      'content-type': 'application/json',
      ...(costHint === undefined ? {} : { 'x-cost-hint': String(costHint) }),
    },
    body: JSON.stringify({
      model: work.pool,
      messages: withSystem,
      max_tokens: maxTokens,
      stream: work.stream,
    }),
  };
}

function toServiceCall(arrival: CallArrival): HttpCall {
  const { work, body } = arrival;
  const key: Record<string, string> = work.idempotent ? {} : { 'idempotency-key': arrival.key };
  return {
    method: work.method,
    path: `/apps/${work.pool}${work.path}`,
    headers: { ...commonHeaders(arrival), 'x-idempotent': String(work.idempotent), ...key },
    body: work.method === 'GET' ? '' : body,
  };
}

async function readAnswer(
  arrival: Arrival,
  { body }: Dispatcher.ResponseData,
  progress: Progress,
): Promise<Outcome> {
  if (arrival.kind === 'call') return checkReply(arrival, await body.text(), progress);
  const { question, maxTokens, work } = arrival;
  if (!work.stream) return checkWholeAnswer(question, maxTokens, await body.text(), progress);
  const check = createStreamCheck(question, maxTokens, progress);
  body.setEncoding('utf8');
  for await (const part of body) check.push(part as string);
  return check.end();
}

function checkReply(arrival: CallArrival, text: string, progress: Progress): Outcome {
  const reply = parseObject(text) as Partial<ServiceReply>;
  progress.onAnswerStarted();
  if (reply.bodyHash === undefined) return wrongOutcome('truncated', 'no body hash');
  const sent = arrival.work.method === 'GET' ? '' : arrival.body;
  const isOwn = reply.bodyHash === bodyHash(sent) && reply.method === arrival.work.method;
  return isOwn ? SERVED : wrongOutcome('not-own', `reply to ${reply.method} ${reply.path}`);
}
