/**
 * Connections to engines and plain services. Each attempt runs on its own connection; control calls
 * use another pool, so that a silent answer cannot hold them up.
 */
import { Agent } from 'undici';
import { Debug } from '../core/debug.js';
import type { Millis } from '../core/clock.js';
import type { AttemptId, AttemptPlan, UpstreamId } from '../core/types.js';
import { startAttemptRun, type AttemptRun } from './attemptRun.js';
import { createEngineControl } from './engineControl.js';
import type { OutgoingRequest, Post, UpstreamHost, AnswerSink } from './types.js';

export interface UpstreamHostOptions {
  readonly post: Post;
  /** Longest delay of a progress event. */
  readonly progressDelayMs?: Millis;
  /** Tokens after which progress is reported at once. */
  readonly progressTokens?: number;
  readonly connectTimeoutMs?: Millis;
  /** Time limit of control calls. */
  readonly controlTimeoutMs?: Millis;
}

const DEFAULTS = {
  progressDelayMs: 50,
  progressTokens: 64,
  connectTimeoutMs: 2_000,
  controlTimeoutMs: 2_000,
} as const;

interface RunningAttempt {
  readonly plan: AttemptPlan;
  run?: AttemptRun;
  /** Progress that was not reported yet. */
  tokens: number;
  bytes: number;
}

/** Creates the host; it connects on demand. */
export function createUpstreamHost(options: UpstreamHostOptions): UpstreamHost {
  const cfg = { ...DEFAULTS, ...options };
  const { post } = cfg;
  const agent = new Agent({ pipelining: 1, connect: { timeout: cfg.connectTimeoutMs } });
  const control = createEngineControl({ post, timeoutMs: cfg.controlTimeoutMs });
  const running = new Map<AttemptId, RunningAttempt>();
  const changed = new Set<RunningAttempt>();
  /** Upstreams whose answers have named their attempt in the body. */
  const naming = new Set<UpstreamId>();
  const moves = new Map<string, Promise<void>>();
  let flushTimer: NodeJS.Timeout | undefined;

  function flush(attempt: RunningAttempt): void {
    if (!changed.delete(attempt)) return;
    const { tokens, bytes } = attempt;
    attempt.tokens = 0;
    attempt.bytes = 0;
    const { attemptId } = attempt.plan;
    post({ kind: 'attemptProgress', attemptId, outputTokens: tokens, bytes });
  }

  function noteProgress(attempt: RunningAttempt, tokens: number, bytes: number): void {
    attempt.tokens += tokens;
    attempt.bytes += bytes;
    changed.add(attempt);
    if (attempt.tokens >= cfg.progressTokens) flush(attempt);
    flushTimer ??= setTimeout(() => {
      flushTimer = undefined;
      changed.forEach(flush);
    }, cfg.progressDelayMs);
  }

  function start(plan: AttemptPlan, req: OutgoingRequest, sink: AnswerSink): void {
    const { attemptId } = plan;
    const attempt: RunningAttempt = { plan, tokens: 0, bytes: 0 };
    running.set(attemptId, attempt);
    attempt.run = startAttemptRun({
      dispatcher: agent,
      plan,
      req,
      sink,
      namesAttempts: plan.kind === 'model' && naming.has(plan.upstream),
      listener: {
        onNamed: () => naming.add(plan.upstream),
        onStarted: () => post({ kind: 'attemptStarted', attemptId }),
        onProgress: (tokens, bytes) => noteProgress(attempt, tokens, bytes),
        onEnded: (outcome) => {
          running.delete(attemptId);
          flush(attempt);
          post({ kind: 'attemptEnded', attemptId, outcome });
          // The upstream may not have noticed that nobody reads its answer any more.
          const isAbandoned = ['cancelled', 'silent', 'foreign'].includes(outcome.kind);
          if (isAbandoned && plan.kind === 'model') control.steer(plan, 'cancel');
        },
      },
    });
  }

  function steer(attemptId: AttemptId, action: 'suspend' | 'resume'): void {
    const attempt = running.get(attemptId);
    if (attempt !== undefined) control.steer(attempt.plan, action);
  }

  return {
    dispatch: (plan, req, sink) => {
      const move = plan.resumeFromToken > 0 ? moves.get(plan.url) : undefined;
      if (move === undefined) start(plan, req, sink);
      else void move.then(() => start(plan, req, sink));
    },
    cancel: (attemptId) => running.get(attemptId)?.run?.cancel(),
    suspend: (attemptId) => steer(attemptId, 'suspend'),
    resume: (attemptId) => steer(attemptId, 'resume'),
    moveCache: (attemptId, fromUrl, toUrl) => {
      const move = control.moveCache(attemptId, fromUrl, toUrl).finally(() => {
        if (moves.get(toUrl) === move) moves.delete(toUrl);
      });
      moves.set(toUrl, move);
    },
    poll: control.poll,
    giveOrder: control.giveOrder,
    close: async () => {
      clearTimeout(flushTimer);
      running.forEach(({ run }) => Debug.assertDefined(run, 'run').cancel());
      await Promise.all([agent.destroy(), control.close()]);
    },
  };
}
