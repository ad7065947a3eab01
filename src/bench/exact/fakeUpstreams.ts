/**
 * Fake engines and plain services. Reports the outcomes of attempts as the upstream host does, and
 * records what each upstream executed, for the reference model.
 */
import type { Millis } from '../../core/clock.js';
import type { Random } from '../../core/random.js';
import type {
  AttemptId,
  AttemptOutcome,
  AttemptPlan,
  CoreEvent,
  UpstreamId,
} from '../../core/types.js';
import type { Schedule } from './schedule.js';

/** The properties of a request that determine how the fake runs it. */
export interface RequestWork {
  readonly outputTokens: number;
  /** Whether the request crashes every upstream that runs it. */
  readonly isCrashing: boolean;
  readonly key?: string;
}

/** Share of the attempts that fail in each way, from 0 to 1. */
export interface FakeUpstreamFaults {
  silent: number;
  cut: number;
  crossed: number;
  declined: number;
  /** Whether every attempt ends with a server error. */
  isFailing: boolean;
}

export interface Execution {
  readonly requestId: string;
  readonly upstream: UpstreamId;
  readonly at: Millis;
  /** Whether the attempt resumed an earlier answer, on the same engine or from its moved cache. */
  readonly isResume: boolean;
}

export interface FakeUpstreams {
  readonly faults: FakeUpstreamFaults;
  /** Each start or resumption of a request on an upstream. */
  readonly executions: Execution[];
  readonly crashes: { readonly upstream: UpstreamId; readonly at: Millis }[];
  readonly counts: { dispatches: number; moves: number };
  readonly dispatch: (plan: AttemptPlan, post: (event: CoreEvent) => void) => void;
  readonly cancel: (attemptId: AttemptId) => void;
  readonly moveCache: () => void;
  /** Cuts all streams of an upstream, which itself keeps running. Returns the number of streams. */
  readonly cutAll: (upstream: UpstreamId) => number;
  readonly isDown: (upstream: UpstreamId) => boolean;
  readonly epochOf: (upstream: UpstreamId) => string;
}

export interface FakeUpstreamsOptions {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly workOf: (requestId: string) => RequestWork;
  /** Time to produce one token, or the whole answer of a plain service. */
  readonly tokenMs: Millis;
  /** Time for which a crashed upstream refuses connections. */
  readonly downMs: Millis;
}

interface RunningAttempt {
  readonly plan: AttemptPlan;
  readonly post: (event: CoreEvent) => void;
  isOver: boolean;
}

type AttemptBehavior = 'normal' | 'silent' | 'cut' | 'crossed';

const NETWORK_DELAY_MS = 2;
const CRASH_DELAY_MS = 20;

export function createFakeUpstreams(options: FakeUpstreamsOptions): FakeUpstreams {
  const { schedule, random, workOf, tokenMs, downMs } = options;
  const faults: FakeUpstreamFaults = {
    silent: 0,
    cut: 0,
    crossed: 0,
    declined: 0,
    isFailing: false,
  };
  const sightings: Execution[] = [];
  const crashes: { upstream: UpstreamId; at: Millis }[] = [];
  const counts = { dispatches: 0, moves: 0 };
  const running = new Map<AttemptId, RunningAttempt>();
  const downUntil = new Map<UpstreamId, Millis>();

  const isDown = (upstream: UpstreamId) => (downUntil.get(upstream) ?? 0) > schedule.now();
  const epochOf = (upstream: UpstreamId) =>
    String(crashes.filter((crash) => crash.upstream === upstream).length);

  const endAttempt = (run: RunningAttempt, outcome: AttemptOutcome) => {
    if (run.isOver) return;
    run.isOver = true;
    running.delete(run.plan.attemptId);
    run.post({ kind: 'attemptEnded', attemptId: run.plan.attemptId, outcome });
  };

  const crash = (upstream: UpstreamId) => {
    if (isDown(upstream)) return;
    crashes.push({ upstream, at: schedule.now() });
    downUntil.set(upstream, schedule.now() + downMs);
    [...running.values()]
      .filter((run) => run.plan.upstream === upstream)
      .forEach((run) => endAttempt(run, { kind: 'cut', detail: 'reset' }));
  };

  const cutAll = (upstream: UpstreamId) => {
    const cut = [...running.values()].filter((run) => run.plan.upstream === upstream);
    cut.forEach((run) => endAttempt(run, { kind: 'cut', detail: 'reset' }));
    return cut.length;
  };

  const drawBehavior = (): AttemptBehavior => {
    const draw = random.next();
    if (draw < faults.silent) return 'silent';
    if (draw < faults.silent + faults.cut) return 'cut';
    if (draw < faults.silent + faults.cut + faults.crossed) return 'crossed';
    return 'normal';
  };

  const completeAttempt = (run: RunningAttempt, work: RequestWork) => {
    const { plan } = run;
    const body = new TextEncoder().encode(`answer of ${work.key ?? plan.requestId}`);
    const answer = { status: 200, contentType: 'text/plain', body };
    endAttempt(run, {
      kind: 'complete',
      status: 200,
      outputTokens: work.outputTokens,
      ...(plan.captureAnswer ? { answer } : {}),
    });
  };

  const failAttempt = (run: RunningAttempt, behavior: AttemptBehavior) => {
    const { plan } = run;
    if (behavior === 'silent') {
      schedule.after(plan.idleTimeoutMs, () => endAttempt(run, { kind: 'silent' }));
      return;
    }
    endAttempt(run, behavior === 'cut' ? { kind: 'cut', detail: 'reset' } : { kind: 'foreign' });
    // A late answer then arrives for the attempt that has already ended.
    const outcome = { kind: 'complete', status: 200, outputTokens: 1 } as const;
    schedule.after(tokenMs * 3, () => {
      run.post({ kind: 'attemptEnded', attemptId: plan.attemptId, outcome });
    });
  };

  /** Produces one token after another. A faulty attempt fails at the token `failAt`. */
  const streamTokens = (
    run: RunningAttempt,
    work: RequestWork,
    token: number,
    behavior: AttemptBehavior,
    failAt: number,
  ) => {
    if (run.isOver) return;
    if (behavior !== 'normal' && token >= failAt) {
      failAttempt(run, behavior);
      return;
    }
    if (token >= work.outputTokens) {
      completeAttempt(run, work);
      return;
    }
    schedule.after(tokenMs, () => {
      if (run.isOver) return;
      const { attemptId } = run.plan;
      run.post({ kind: 'attemptProgress', attemptId, outputTokens: 1, bytes: 10 });
      streamTokens(run, work, token + 1, behavior, failAt);
    });
  };

  const beginAttempt = (run: RunningAttempt) => {
    const { plan } = run;
    const work = workOf(plan.requestId);
    if (isDown(plan.upstream)) {
      endAttempt(run, { kind: 'notSent', detail: 'refused' });
      return;
    }
    if (random.next() < faults.declined) {
      endAttempt(run, { kind: 'declined', status: 429 });
      return;
    }
    sightings.push({
      requestId: plan.requestId,
      upstream: plan.upstream,
      at: schedule.now(),
      isResume: plan.resumeFromToken > 0,
    });
    if (faults.isFailing) {
      endAttempt(run, { kind: 'upstreamError', status: 500, detail: 'failing' });
      return;
    }
    if (work.isCrashing) schedule.after(CRASH_DELAY_MS, () => !run.isOver && crash(plan.upstream));
    const behavior = drawBehavior();
    const remainingTokens = work.outputTokens - plan.resumeFromToken;
    const failAt =
      plan.resumeFromToken + (behavior === 'crossed' ? 0 : random.nextInt(remainingTokens + 1));
    run.post({ kind: 'attemptStarted', attemptId: plan.attemptId });
    schedule.after(plan.kind === 'service' ? tokenMs : 0, () =>
      streamTokens(run, work, plan.resumeFromToken, behavior, failAt),
    );
  };

  const dispatch: FakeUpstreams['dispatch'] = (plan, post) => {
    counts.dispatches += 1;
    const run: RunningAttempt = { plan, post, isOver: false };
    running.set(plan.attemptId, run);
    schedule.after(NETWORK_DELAY_MS, () => {
      if (!run.isOver) beginAttempt(run);
    });
  };

  const cancel: FakeUpstreams['cancel'] = (attemptId) => {
    const run = running.get(attemptId);
    if (run !== undefined)
      schedule.after(NETWORK_DELAY_MS, () => endAttempt(run, { kind: 'cancelled' }));
  };

  return {
    faults,
    executions: sightings,
    crashes,
    counts,
    dispatch,
    cancel,
    moveCache: () => {
      counts.moves += 1;
    },
    cutAll,
    isDown,
    epochOf,
  };
}
