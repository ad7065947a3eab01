/**
 * The callers' port: completions in the usual format of model servers and plain services below
 * `/apps/<pool>/`. Keeps each request's body and answer until the core has ended the request.
 */
import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http';
import { H3 } from 'h3';
import type { Millis } from '../core/clock.js';
import type { InstanceIdentity, NotRunProblem, RequestId } from '../core/types.js';
import { createCallerAnswer, type CallerAnswer } from './answerSink.js';
import { malformed, readBody, readCallerRequest, type CallerRoute } from './callerRequest.js';
import type { CertificateSource } from './certificates.js';
import { createHttpServer, headerOf, nodeRoute, type HttpLimits } from './httpServer.js';
import { problemBody, problemHeaders } from './problem.js';
import type { CallerHost, OutgoingRequest, Post } from './types.js';

export interface CallerHostOptions {
  readonly self: Pick<InstanceIdentity, 'id' | 'incarnation'>;
  readonly post: Post;
  readonly host: string;
  readonly port: number;
  /** Largest body of a request in bytes. */
  readonly maxBodyBytes?: number;
  readonly limits?: Partial<HttpLimits>;
  /** Longest time for which a caller may leave its answer unread. */
  readonly stallTimeoutMs?: Millis;
  readonly certificates?: CertificateSource | undefined;
}

export const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_STALL_TIMEOUT_MS: Millis = 60_000;
const SERVICE_PREFIX = '/apps/';
const COMPLETION_PATHS = ['/v1/chat/completions', '/v1/completions'] as const;
/** Ids of callers that are returned as they are. */
const CALLER_ID_PATTERN = /^[\w.:-]{1,128}$/;
const RADIX = 36;

interface OpenRequest {
  readonly outgoing: OutgoingRequest;
  readonly answer: CallerAnswer;
}

/** Creates the callers' port; it does not listen yet. */
export function createCallerHost(options: CallerHostOptions): CallerHost {
  const { post, self } = options;
  const maxBodyBytes = options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  const stallTimeoutMs = options.stallTimeoutMs ?? DEFAULT_STALL_TIMEOUT_MS;
  const open = new Map<RequestId, OpenRequest>();
  let nextNumber = 1;
  let isReady = false;

  function createRequestId(): RequestId {
    const id = `${self.id}-${self.incarnation.toString(RADIX)}-q${nextNumber.toString(RADIX)}`;
    nextNumber += 1;
    return id;
  }

  async function receive(
    route: CallerRoute,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const requestId = createRequestId();
    const callerId = headerOf(req, 'x-request-id') ?? '';
    const shownId = CALLER_ID_PATTERN.test(callerId) ? callerId : requestId;
    const headers = { 'x-request-id': shownId };
    const answer = createCallerAnswer({ res, headers, stallTimeoutMs });
    const body = await readBody(req, maxBodyBytes);
    if (body === undefined) {
      answer.fail(bodyTooLarge(maxBodyBytes));
      req.resume();
      return;
    }
    const result = readCallerRequest(requestId, route, req, body);
    if (result.kind === 'refused') {
      answer.fail(result.problem);
      return;
    }
    open.set(requestId, { outgoing: result.request.outgoing, answer });
    res.once('close', () => {
      if (!open.delete(requestId)) return;
      post({ kind: 'callerGone', requestId });
    });
    post(result.request.event);
  }

  const handle = (routeOf: (req: IncomingMessage) => CallerRoute | undefined) =>
    nodeRoute((req, res) => {
      const route = routeOf(req);
      if (route === undefined) {
        createCallerAnswer({ res, headers: {}, stallTimeoutMs }).fail(notFound());
        return;
      }
      // A caller that leaves while it sends its body has no answer to wait for.
      receive(route, req, res).catch(() => res.destroy());
    });

  const app = new H3({ silent: true });
  COMPLETION_PATHS.forEach((path) => {
    app.post(
      path,
      handle(() => ({ kind: 'completion', path })),
    );
  });
  app.all(`${SERVICE_PREFIX}**`, handle(serviceRouteOf));
  app.all(
    '/**',
    handle(() => undefined),
  );
  const server = createHttpServer({ app, ...options, malformedAnswer });

  /** Takes a request out of the table; its caller's departure is of no more interest. */
  function settle(id: RequestId): CallerAnswer | undefined {
    const request = open.get(id);
    open.delete(id);
    return request?.answer;
  }

  return {
    listen: server.listen,
    setReady: (ready) => {
      isReady = ready;
    },
    isReady: () => isReady,
    requestOf: (id) => open.get(id)?.outgoing,
    sinkOf: (id) => open.get(id)?.answer,
    finishAnswer: (id) => settle(id)?.finish(),
    replayAnswer: (id, recorded) => settle(id)?.replay(recorded),
    refuse: (id, problem) => settle(id)?.fail(problem),
    fail: (id, problem) => settle(id)?.fail(problem),
    close: async () => {
      // A caller that neither reads its answer nor leaves must not hold up a stop for good.
      const timer = setTimeout(() => {
        void server.kill();
      }, stallTimeoutMs);
      await server.close();
      clearTimeout(timer);
    },
    kill: server.kill,
  };
}

/** `/apps/<pool>/<path>`; `undefined` if no pool is named. */
function serviceRouteOf(req: IncomingMessage): CallerRoute | undefined {
  const match = /^\/apps\/([^/?#]+)(\/[^#]*|\?[^#]*)?$/.exec(req.url ?? '');
  if (match?.[1] === undefined) return undefined;
  const rest = match[2] ?? '/';
  try {
    const pool = decodeURIComponent(match[1]);
    return { kind: 'service', pool, path: rest.startsWith('/') ? rest : `/${rest}` };
  } catch {
    return undefined;
  }
}

function bodyTooLarge(limit: number): NotRunProblem {
  return {
    code: 'bodyTooLarge',
    status: 413,
    executed: 'no',
    step: 'receive',
    peer: { kind: 'caller' },
    detail: `The limit is ${limit} bytes.`,
    args: { limit },
  };
}

function notFound(): NotRunProblem {
  return {
    code: 'notFound',
    status: 404,
    executed: 'no',
    step: 'route',
    peer: { kind: 'caller' },
  };
}

/** Status by the error code of a connection whose bytes cannot be read. */
const CONNECTION_STATUS: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

function malformedAnswer(errorCode: string): string {
  const status = CONNECTION_STATUS[errorCode] ?? 400;
  const { problem } = malformed('The bytes are not a request of HTTP/1.1.', status);
  const body = `${JSON.stringify(problemBody(problem))}\n`;
  const headers = {
    ...problemHeaders(problem),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${lines.join('')}\r\n${body}`;
}
