/**
 * The `h3` application behind the ports of callers and operators. Every error response that the
 * framework would generate by itself is replaced by a problem document, so that a caller always
 * learns whether its request has run.
 */
import { H3, type HTTPError } from 'h3';
import type { Problem } from '../core/types.js';
import { createProblemBody, createProblemHeaders } from './problem.js';

const FIRST_SERVER_ERROR_STATUS = 500;

/** Creates an application without routes. */
export function createApplication(): H3 {
  return new H3({
    silent: true,
    // The handlers read the request target as it was sent and refuse it themselves.
    allowMalformedURL: true,
    onError: (err) => createProblemResponse(toProblem(err)),
  });
}

/** Describes an error of the framework, or one that a handler has thrown. */
function toProblem({ status, message }: HTTPError): Problem {
  if (status >= FIRST_SERVER_ERROR_STATUS) {
    return {
      code: 'internalError',
      status,
      executed: 'unknown',
      step: 'settle',
      peer: { kind: 'self' },
    };
  }
  return {
    code: 'malformedRequest',
    status,
    executed: 'no',
    step: 'receive',
    peer: { kind: 'caller' },
    args: { reason: message },
  };
}

function createProblemResponse(problem: Problem): Response {
  return new Response(`${JSON.stringify(createProblemBody(problem))}\n`, {
    status: problem.status,
    headers: createProblemHeaders(problem),
  });
}
