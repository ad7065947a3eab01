/** HTTP server for operators: health, readiness, status and commands. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Millis } from '../core/clock.js';
import type { OperatorCommand, OperatorResult, Problem } from '../core/types.js';
import { createApplication } from './application.js';
import { readBody, hashBearerKey } from './callerRequest.js';
import { createHttpServer, nodeRoute, sendJson } from './httpServer.js';
import { parseCommand } from './operatorCommands.js';
import { createProblemBody, createProblemHeaders } from './problem.js';
import type { OperatorHost, Post } from './types.js';

export interface OperatorHostOptions {
  readonly post: Post;
  readonly host: string;
  readonly port: number;
  readonly isReady: () => boolean;
  /** Returns the state of the instance that `GET /status` shows. */
  readonly status: () => Readonly<Record<string, unknown>>;
  /** Timeout for the core's reply to a command. */
  readonly commandTimeoutMs?: Millis;
}

const DEFAULT_COMMAND_TIMEOUT_MS = 30_000;
const MAX_COMMAND_BYTES = 16 * 1024 * 1024;

const NOT_FOUND: Problem = {
  code: 'notFound',
  status: 404,
  executed: 'no',
  step: 'route',
  peer: { kind: 'caller' },
};
const MALFORMED_COMMAND: Problem = {
  ...NOT_FOUND,
  code: 'malformedRequest',
  status: 400,
  step: 'receive',
  args: { reason: 'a command as JSON is expected' },
};
/** Reported if the core did not reply in time; the command may still take effect. */
const NO_REPLY: Problem = {
  code: 'internalError',
  status: 504,
  executed: 'unknown',
  step: 'settle',
  peer: { kind: 'self' },
};

/** Creates the server without starting to listen. */
export function createOperatorHost(options: OperatorHostOptions): OperatorHost {
  const timeoutMs = options.commandTimeoutMs ?? DEFAULT_COMMAND_TIMEOUT_MS;
  const pendingCommands = new Map<string, (result: OperatorResult) => void>();
  let nextCommandNumber = 1;

  async function submitCommand(command: OperatorCommand): Promise<OperatorResult> {
    const commandId = `c${nextCommandNumber}`;
    nextCommandNumber += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => resolveCommand(commandId, { kind: 'rejected', problem: NO_REPLY }),
        timeoutMs,
      );
      pendingCommands.set(commandId, (result) => {
        clearTimeout(timer);
        resolve(result);
      });
      options.post({ kind: 'operatorCommand', commandId, command });
    });
  }

  function resolveCommand(commandId: string, result: OperatorResult): void {
    pendingCommands.get(commandId)?.(result);
    pendingCommands.delete(commandId);
  }

  async function handleCommand(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req, MAX_COMMAND_BYTES);
    const parsed = parseCommand(body, hashBearerKey(req));
    if (parsed.kind === 'malformed') {
      sendProblem(res, { ...MALFORMED_COMMAND, detail: parsed.reason });
      return;
    }
    sendResult(res, await submitCommand(parsed.command));
  }

  function sendStatus(res: ServerResponse): void {
    sendJson(res, 200, { ready: options.isReady(), ...options.status() });
  }

  const app = createApplication();
  app.get(
    '/healthz',
    nodeRoute((_req, res) => sendJson(res, 200, { healthy: true })),
  );
  app.get(
    '/readyz',
    nodeRoute((_req, res) => {
      const ready = options.isReady();
      sendJson(res, ready ? 200 : 503, { ready });
    }),
  );
  app.get(
    '/status',
    nodeRoute((_req, res) => {
      sendStatus(res);
    }),
  );
  app.post(
    '/commands',
    nodeRoute((req, res) => {
      handleCommand(req, res).catch(() => res.destroy());
    }),
  );
  app.all(
    '/**',
    nodeRoute((_req, res) => sendProblem(res, NOT_FOUND)),
  );
  const server = createHttpServer({ app, host: options.host, port: options.port });
  return {
    listen: server.listen,
    reply: resolveCommand,
    close: async () => {
      pendingCommands.forEach((_, id) =>
        resolveCommand(id, { kind: 'rejected', problem: NO_REPLY }),
      );
      await server.close();
    },
  };
}

function sendResult(res: ServerResponse, result: OperatorResult): void {
  if (result.kind === 'done') {
    sendJson(res, 200, result.data ?? {});
    return;
  }
  const { problem, data } = result;
  const body = { ...createProblemBody(problem), ...(data === undefined ? {} : { data }) };
  sendJson(res, problem.status, body, createProblemHeaders(problem));
}

function sendProblem(res: ServerResponse, problem: Problem): void {
  sendJson(res, problem.status, createProblemBody(problem), createProblemHeaders(problem));
}
