/**
 * A fake of engines and plain services behind the upstream host: it reports the outcomes of attempts
 * as the host would, and keeps what each upstream has seen for the reference model.
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

/** What the fake has to know of a request. */
export interface Work {
  readonly outputTokens: number;
  /** Whether the request crashes each upstream that runs it. */
  readonly isCrashing: boolean;
  readonly key?: string;
}

/** Shares of attempts that go wrong in one way. */
export interface FakeUpstreamFaults {
  silent: number;
  cut: number;
  crossed: number;
  declined: number;
  /** Every attempt ends with a server error. */
  isFailing: boolean;
}

export interface Sighting {
  readonly requestId: string;
  readonly upstream: UpstreamId;
  readonly at: Millis;
  /** Whether it continued an answer of the same engine, or of its moved cache. */
  readonly isResume: boolean;
}

export interface FakeUpstreams {
  readonly faults: FakeUpstreamFaults;
  /** Requests that an upstream began or went on to run. */
  readonly sightings: Sighting[];
  readonly crashes: { readonly upstream: UpstreamId; readonly at: Millis }[];
  readonly counts: { dispatches: number; moves: number };
  readonly dispatch: (plan: AttemptPlan, post: (event: CoreEvent) => void) => void;
  readonly cancel: (attemptId: AttemptId) => void;
  readonly moveCache: () => void;
  /** Cuts all streams of an upstream, which goes on running; returns their number. */
  readonly cutAll: (upstream: UpstreamId) => number;
  readonly isDown: (upstream: UpstreamId) => boolean;
  readonly epochOf: (upstream: UpstreamId) => string;
}

export interface FakeUpstreamsOptions {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly workOf: (requestId: string) => Work;
  /** Time of a token, or of a whole answer of a plain service. */
  readonly tokenMs: Millis;
  /** Time for which a crashed upstream refuses connections. */
  readonly downMs: Millis;
}

interface Running {
  readonly plan: AttemptPlan;
  readonly post: (event: CoreEvent) => void;
  isOver: boolean;
}

type Fate = 'well' | 'silent' | 'cut' | 'crossed';

const NETWORK_MS = 2;
const CRASH_MS = 20;

export function createFakeUpstreams(options: FakeUpstreamsOptions): FakeUpstreams {
  const { schedule, random, workOf, tokenMs, downMs } = options;
  const faults: FakeUpstreamFaults = {
    silent: 0,
    cut: 0,
    crossed: 0,
    declined: 0,
    isFailing: false,
  };
  const sightings: Sighting[] = [];
  const crashes: { upstream: UpstreamId; at: Millis }[] = [];
  const counts = { dispatches: 0, moves: 0 };
  const running = new Map<AttemptId, Running>();
  const downUntil = new Map<UpstreamId, Millis>();

  const isDown = (upstream: UpstreamId) => (downUntil.get(upstream) ?? 0) > schedule.now();
  const epochOf = (upstream: UpstreamId) =>
    String(crashes.filter((crash) => crash.upstream === upstream).length);

  const end = (run: Running, outcome: AttemptOutcome) => {
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
      .forEach((run) => end(run, { kind: 'cut', detail: 'reset' }));
  };

  const cutAll = (upstream: UpstreamId) => {
    const cut = [...running.values()].filter((run) => run.plan.upstream === upstream);
    cut.forEach((run) => end(run, { kind: 'cut', detail: 'reset' }));
    return cut.length;
  };

  const drawFate = (): Fate => {
    const draw = random.next();
    if (draw < faults.silent) return 'silent';
    if (draw < faults.silent + faults.cut) return 'cut';
    if (draw < faults.silent + faults.cut + faults.crossed) return 'crossed';
    return 'well';
  };

  const finish = (run: Running, work: Work) => {
    const { plan } = run;
    const body = new TextEncoder().encode(`answer of ${work.key ?? plan.requestId}`);
    const answer = { status: 200, contentType: 'text/plain', body };
    end(run, {
      kind: 'complete',
      status: 200,
      outputTokens: work.outputTokens,
      ...(plan.captureAnswer ? { answer } : {}),
    });
  };

  const strike = (run: Running, fate: Fate) => {
    const { plan } = run;
    if (fate === 'silent') {
      schedule.after(plan.idleTimeoutMs, () => end(run, { kind: 'silent' }));
      return;
    }
    end(run, fate === 'cut' ? { kind: 'cut', detail: 'reset' } : { kind: 'foreign' });
    // The answer arrives after all, for an attempt that has ended.
    const outcome = { kind: 'complete', status: 200, outputTokens: 1 } as const;
    schedule.after(tokenMs * 3, () => {
      run.post({ kind: 'attemptEnded', attemptId: plan.attemptId, outcome });
    });
  };

  /** Passes on token by token; `failAt` is the token at which the fate strikes. */
  const produce = (run: Running, work: Work, token: number, fate: Fate, failAt: number) => {
    if (run.isOver) return;
    if (fate !== 'well' && token >= failAt) {
      strike(run, fate);
      return;
    }
    if (token >= work.outputTokens) {
      finish(run, work);
      return;
    }
    schedule.after(tokenMs, () => {
      if (run.isOver) return;
      const { attemptId } = run.plan;
      run.post({ kind: 'attemptProgress', attemptId, outputTokens: 1, bytes: 10 });
      produce(run, work, token + 1, fate, failAt);
    });
  };

  const begin = (run: Running) => {
    const { plan } = run;
    const work = workOf(plan.requestId);
    if (isDown(plan.upstream)) {
      end(run, { kind: 'notSent', detail: 'refused' });
      return;
    }
    if (random.next() < faults.declined) {
      end(run, { kind: 'declined', status: 429 });
      return;
    }
    sightings.push({
      requestId: plan.requestId,
      upstream: plan.upstream,
      at: schedule.now(),
      isResume: plan.resumeFromToken > 0,
    });
    if (faults.isFailing) {
      end(run, { kind: 'upstreamError', status: 500, detail: 'failing' });
      return;
    }
    if (work.isCrashing) schedule.after(CRASH_MS, () => !run.isOver && crash(plan.upstream));
    const fate = drawFate();
    const left = work.outputTokens - plan.resumeFromToken;
    const failAt = plan.resumeFromToken + (fate === 'crossed' ? 0 : random.nextInt(left + 1));
    run.post({ kind: 'attemptStarted', attemptId: plan.attemptId });
    schedule.after(plan.kind === 'service' ? tokenMs : 0, () =>
      produce(run, work, plan.resumeFromToken, fate, failAt),
    );
  };

  const dispatch: FakeUpstreams['dispatch'] = (plan, post) => {
    counts.dispatches += 1;
    const run: Running = { plan, post, isOver: false };
    running.set(plan.attemptId, run);
    schedule.after(NETWORK_MS, () => {
      if (!run.isOver) begin(run);
    });
  };

  const cancel: FakeUpstreams['cancel'] = (attemptId) => {
    const run = running.get(attemptId);
    if (run !== undefined) schedule.after(NETWORK_MS, () => end(run, { kind: 'cancelled' }));
  };

  return {
    faults,
    sightings,
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
