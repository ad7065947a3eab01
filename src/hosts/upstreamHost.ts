/**
 * HTTP client for engines and plain services. No two running attempts share a connection. Control
 * calls use a separate connection pool, so that an upstream that stops sending a response cannot
 * delay them.
 */
import { Agent } from 'undici';
import { Debug } from '../core/debug.js';
import type { Millis } from '../core/clock.js';
import type { AttemptId, AttemptPlan, UpstreamId } from '../core/types.js';
import { startAttemptRun, type AttemptRun } from './attemptRun.js';
import { createEngineControl } from './engineControl.js';
import type { OutgoingRequest, Post, UpstreamHost, ResponseSink } from './types.js';

export interface UpstreamHostOptions {
  readonly post: Post;
  /** Maximum delay before progress is reported. */
  readonly progressDelayMs?: Millis;
  /** Number of tokens after which progress is reported immediately. */
  readonly progressTokens?: number;
  readonly connectTimeoutMs?: Millis;
  /** Timeout of control calls. */
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
  unreportedTokens: number;
  unreportedBytes: number;
}

/** Creates the host; connections are opened on demand. */
export function createUpstreamHost(options: UpstreamHostOptions): UpstreamHost {
  const cfg = { ...DEFAULTS, ...options };
  const { post } = cfg;
  const agent = new Agent({ pipelining: 1, connect: { timeout: cfg.connectTimeoutMs } });
  const control = createEngineControl({ post, timeoutMs: cfg.controlTimeoutMs });
  const running = new Map<AttemptId, RunningAttempt>();
  const unreportedAttempts = new Set<RunningAttempt>();
  /** Upstreams that have put the attempt id into a response body. */
  const upstreamsEchoingIds = new Set<UpstreamId>();
  const cacheMovesByUrl = new Map<string, Promise<void>>();
  let progressTimer: NodeJS.Timeout | undefined;

  function reportProgress(attempt: RunningAttempt): void {
    if (!unreportedAttempts.delete(attempt)) return;
    const { unreportedTokens, unreportedBytes } = attempt;
    attempt.unreportedTokens = 0;
    attempt.unreportedBytes = 0;
    const { attemptId } = attempt.plan;
    post({
      kind: 'attemptProgress',
      attemptId,
      outputTokens: unreportedTokens,
      bytes: unreportedBytes,
    });
  }

  function recordProgress(attempt: RunningAttempt, tokens: number, bytes: number): void {
    attempt.unreportedTokens += tokens;
    attempt.unreportedBytes += bytes;
    unreportedAttempts.add(attempt);
    if (attempt.unreportedTokens >= cfg.progressTokens) reportProgress(attempt);
    progressTimer ??= setTimeout(() => {
      progressTimer = undefined;
      unreportedAttempts.forEach(reportProgress);
    }, cfg.progressDelayMs);
  }

  function startAttempt(plan: AttemptPlan, req: OutgoingRequest, sink: ResponseSink): void {
    const { attemptId } = plan;
    const attempt: RunningAttempt = { plan, unreportedTokens: 0, unreportedBytes: 0 };
    running.set(attemptId, attempt);
    attempt.run = startAttemptRun({
      dispatcher: agent,
      plan,
      req,
      sink,
      echoesAttemptIds: plan.kind === 'model' && upstreamsEchoingIds.has(plan.upstream),
      listener: {
        onAttemptIdEchoed: () => upstreamsEchoingIds.add(plan.upstream),
        onStarted: () => post({ kind: 'attemptStarted', attemptId }),
        onProgress: (tokens, bytes) => recordProgress(attempt, tokens, bytes),
        onEnded: (outcome) => {
          running.delete(attemptId);
          reportProgress(attempt);
          post({ kind: 'attemptEnded', attemptId, outcome });
          // The upstream may not notice that its response is no longer read.
          const isAbandoned = ['cancelled', 'silent', 'foreign'].includes(outcome.kind);
          if (isAbandoned && plan.kind === 'model') control.controlAttempt(plan, 'cancel');
        },
      },
    });
  }

  function controlAttempt(attemptId: AttemptId, action: 'suspend' | 'resume'): void {
    const attempt = running.get(attemptId);
    if (attempt !== undefined) control.controlAttempt(attempt.plan, action);
  }

  return {
    dispatch: (plan, req, sink) => {
      const move = plan.resumeFromToken > 0 ? cacheMovesByUrl.get(plan.url) : undefined;
      if (move === undefined) startAttempt(plan, req, sink);
      else void move.then(() => startAttempt(plan, req, sink));
    },
    cancel: (attemptId) => running.get(attemptId)?.run?.cancel(),
    suspend: (attemptId) => controlAttempt(attemptId, 'suspend'),
    resume: (attemptId) => controlAttempt(attemptId, 'resume'),
    moveCache: (attemptId, fromUrl, toUrl) => {
      const move = control.moveCache(attemptId, fromUrl, toUrl).finally(() => {
        if (cacheMovesByUrl.get(toUrl) === move) cacheMovesByUrl.delete(toUrl);
      });
      cacheMovesByUrl.set(toUrl, move);
    },
    poll: control.poll,
    sendOrder: control.sendOrder,
    close: async () => {
      clearTimeout(progressTimer);
      running.forEach(({ run }) => Debug.assertDefined(run, 'run').cancel());
      await Promise.all([agent.destroy(), control.close()]);
    },
  };
}
