/**
 * HTTP server for callers: completions in the API format common to model servers, and plain
 * services below `/apps/<pool>/`. Keeps the body and the response of each request until the core
 * has completed it.
 */
import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Millis } from '../core/clock.js';
import type { InstanceIdentity, NotRunProblem, RequestId } from '../core/types.js';
import { createApplication } from './application.js';
import { createCallerResponse, type CallerResponse } from './callerResponse.js';
import {
  refuseMalformed,
  readBody,
  parseCallerRequest,
  type CallerRoute,
} from './callerRequest.js';
import type { CertificateSource } from './certificates.js';
import { createHttpServer, getHeader, nodeRoute, type HttpLimits } from './httpServer.js';
import { createProblemBody, createProblemHeaders } from './problem.js';
import type { CallerHost, OutgoingRequest, Post } from './types.js';

export interface CallerHostOptions {
  readonly self: Pick<InstanceIdentity, 'id' | 'incarnation'>;
  readonly post: Post;
  readonly host: string;
  readonly port: number;
  /** Maximum size of a request body in bytes. */
  readonly maxBodyBytes?: number;
  readonly limits?: Partial<HttpLimits>;
  /** Longest time for which a caller may leave its response unread. */
  readonly stallTimeoutMs?: Millis;
  readonly certificates?: CertificateSource | undefined;
}

export const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_STALL_TIMEOUT_MS: Millis = 60_000;
const SERVICE_PREFIX = '/apps/';
const COMPLETION_PATHS = ['/v1/chat/completions', '/v1/completions'] as const;
/** A caller's request id that matches is returned unchanged; any other is replaced. */
const CALLER_REQUEST_ID_PATTERN = /^[\w.:-]{1,128}$/;
const ID_RADIX = 36;

interface OpenRequest {
  readonly outgoing: OutgoingRequest;
  readonly response: CallerResponse;
}

/** Creates the server without starting to listen. */
export function createCallerHost(options: CallerHostOptions): CallerHost {
  const { post, self } = options;
  const maxBodyBytes = options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
  const stallTimeoutMs = options.stallTimeoutMs ?? DEFAULT_STALL_TIMEOUT_MS;
  const openRequests = new Map<RequestId, OpenRequest>();
  let nextNumber = 1;
  let isReady = false;

  function createRequestId(): RequestId {
    const id = `${self.id}-${self.incarnation.toString(ID_RADIX)}-q${nextNumber.toString(ID_RADIX)}`;
    nextNumber += 1;
    return id;
  }

  async function receive(
    route: CallerRoute,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const requestId = createRequestId();
    const callerRequestId = getHeader(req, 'x-request-id') ?? '';
    const returnedRequestId = CALLER_REQUEST_ID_PATTERN.test(callerRequestId)
      ? callerRequestId
      : requestId;
    const headers = { 'x-request-id': returnedRequestId };
    const response = createCallerResponse({ res, headers, stallTimeoutMs });
    const body = await readBody(req, maxBodyBytes);
    if (body === undefined) {
      response.fail(createBodyTooLargeProblem(maxBodyBytes));
      req.resume();
      return;
    }
    const result = parseCallerRequest(requestId, route, req, body);
    if (result.kind === 'refused') {
      response.fail(result.problem);
      return;
    }
    openRequests.set(requestId, { outgoing: result.request.outgoing, response });
    res.once('close', () => {
      if (!openRequests.delete(requestId)) return;
      post({ kind: 'callerGone', requestId });
    });
    post(result.request.event);
  }

  const createRouteHandler = (findRoute: (req: IncomingMessage) => CallerRoute | undefined) =>
    nodeRoute((req, res) => {
      const route = findRoute(req);
      if (route === undefined) {
        createCallerResponse({ res, headers: {}, stallTimeoutMs }).fail(createNotFoundProblem());
        return;
      }
      // Rejects if the caller disconnects while it sends the body; there is nobody to respond to.
      receive(route, req, res).catch(() => res.destroy());
    });

  const app = createApplication();
  COMPLETION_PATHS.forEach((path) => {
    app.post(
      path,
      createRouteHandler(() => ({ kind: 'completion', path })),
    );
  });
  app.all(`${SERVICE_PREFIX}**`, createRouteHandler(parseServiceRoute));
  app.all(
    '/**',
    createRouteHandler(() => undefined),
  );
  const server = createHttpServer({ app, ...options, createMalformedResponse });

  /**
   * Removes and returns an open request. A disconnect of its caller is no longer reported after
   * that.
   */
  function takeRequest(id: RequestId): CallerResponse | undefined {
    const request = openRequests.get(id);
    openRequests.delete(id);
    return request?.response;
  }

  return {
    listen: server.listen,
    setReady: (ready) => {
      isReady = ready;
    },
    isReady: () => isReady,
    getRequest: (id) => openRequests.get(id)?.outgoing,
    getResponseSink: (id) => openRequests.get(id)?.response,
    finishResponse: (id) => takeRequest(id)?.finish(),
    replayResponse: (id, recorded) => takeRequest(id)?.replay(recorded),
    refuse: (id, problem) => takeRequest(id)?.fail(problem),
    fail: (id, problem) => takeRequest(id)?.fail(problem),
    close: async () => {
      // A caller that neither reads its response nor disconnects would otherwise block the shutdown
      // forever.
      const timer = setTimeout(() => {
        void server.kill();
      }, stallTimeoutMs);
      await server.close();
      clearTimeout(timer);
    },
    kill: server.kill,
  };
}

/** Parses `/apps/<pool>/<path>`; returns `undefined` if the path does not name a pool. */
function parseServiceRoute(req: IncomingMessage): CallerRoute | undefined {
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

function createBodyTooLargeProblem(limit: number): NotRunProblem {
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

function createNotFoundProblem(): NotRunProblem {
  return {
    code: 'notFound',
    status: 404,
    executed: 'no',
    step: 'route',
    peer: { kind: 'caller' },
  };
}

/** HTTP status by the error code that the Node.js HTTP parser reports. */
const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

function createMalformedResponse(errorCode: string): string {
  const status = STATUS_BY_ERROR_CODE[errorCode] ?? 400;
  const { problem } = refuseMalformed('The bytes are not a request of HTTP/1.1.', status);
  const body = `${JSON.stringify(createProblemBody(problem))}\n`;
  const headers = {
    ...createProblemHeaders(problem),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${lines.join('')}\r\n${body}`;
}
