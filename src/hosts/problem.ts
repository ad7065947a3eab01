/** Problem documents for callers and operators (RFC 9457, `application/problem+json`). */
import { MS_PER_SECOND } from '../core/clock.js';
import { diagnostics, formatDiagnostic } from '../core/diagnostics.js';
import type { Problem } from '../core/types.js';

export const PROBLEM_TYPE = 'application/problem+json';

/** Body of a problem response. */
export interface ProblemBody {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly code: number;
  readonly executed: Problem['executed'];
  readonly step: Problem['step'];
  readonly peer: Problem['peer'];
  readonly detail?: string;
}

/** Creates the response body for a problem. */
export function createProblemBody(problem: Problem): ProblemBody {
  const { args, code, status, executed, step, peer, detail } = problem;
  return {
    type: `urn:primroseswitch:problem:${code}`,
    title: formatDiagnostic(code, args),
    status,
    code: diagnostics[code].code,
    executed,
    step,
    peer,
    ...(detail === undefined ? {} : { detail }),
  };
}

/** Creates the response headers for a problem, except for the length. */
export function createProblemHeaders(problem: Problem): Record<string, string> {
  const headers: Record<string, string> = { 'content-type': PROBLEM_TYPE };
  if (problem.status === 401) headers['www-authenticate'] = 'Bearer';
  if (problem.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(problem.retryAfterMs / MS_PER_SECOND)));
  }
  return headers;
}
