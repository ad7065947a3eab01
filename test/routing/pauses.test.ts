import { expect } from 'chai';
import { listUpstreamStates } from '../../src/routing/upstreams/overview.js';
import type { PauseStatement, RoutingEffect } from '../../src/routing/types.js';
import {
  answerOf,
  createTestCore,
  createUpstreamEntry,
  effectsOf,
  planOf,
  type TestCore,
} from './support/core.js';

const CHECK_MS = 100;

/** Creates a core with one upstream that takes model requests. */
function createSmallCore(): TestCore {
  const core = createTestCore();
  core.list(createUpstreamEntry('i-2', { phase: 'draining', beat: 2 }));
  return core;
}

/** Has an attempt refused with a statement; returns the effects of its end. */
function refuse(
  core: TestCore,
  attempt: number,
  pause: PauseStatement,
  status = 503,
): readonly RoutingEffect[] {
  core.dispatch({ kind: 'attemptAnswered', attempt, status, pause });
  return core.dispatch({ kind: 'attemptEnded', attempt, outcome: { kind: 'declined', status } });
}

const pauseFor = (ms: number): PauseStatement => ({ kind: 'for', ms });
const sends = (core: TestCore) => effectsOf(core.arrive(), 'send').length;

/** Passes time in steps of the health check. */
function pass(core: TestCore, ms: number): readonly RoutingEffect[] {
  const effects: RoutingEffect[] = [];
  for (let passed = 0; passed < ms; passed += CHECK_MS) {
    core.advance(Math.min(CHECK_MS, ms - passed));
    effects.push(...core.dispatch({ kind: 'timer', timer: 'health' }));
  }
  core.configure();
  return effects;
}

describe('an upstream that asks for a pause', () => {
  it('gets no request for that time, and callers are told no shorter one', () => {
    const core = createSmallCore();
    const refused = refuse(core, planOf(core.arrive()).attempt, pauseFor(2_500));
    expect(answerOf(refused)).to.include({ status: 503, reason: 'declined' });
    expect(answerOf(refused)?.retryAfterMs).to.be.within(2_500, 3_000);
    pass(core, 2_400);
    const effects = core.arrive();
    expect(answerOf(effects)).to.include({ status: 503, reason: 'noUpstream' });
    expect(answerOf(effects)?.retryAfterMs).to.be.at.least(100);
    pass(core, 100);
    expect(sends(core)).to.equal(1);
  });

  it('leaves its requests to the others, which have no pause', () => {
    const core = createTestCore();
    const { attempt, upstream } = planOf(core.arrive());
    const repeat = planOf(refuse(core, attempt, pauseFor(60_000)));
    expect(repeat.upstream).to.not.equal(upstream);
    for (let i = 0; i < 10; i += 1)
      expect(planOf(core.arrive()).upstream).to.equal(repeat.upstream);
  });

  it('is held to the pause that ends last, whatever the order of its answers', () => {
    const core = createSmallCore();
    const attempts = [1, 2, 3].map(() => planOf(core.arrive()).attempt);
    refuse(core, attempts[0] as number, pauseFor(1_000));
    refuse(core, attempts[1] as number, pauseFor(300));
    refuse(core, attempts[2] as number, pauseFor(0));
    pass(core, 900);
    expect(sends(core)).to.equal(0);
    pass(core, 100);
    expect(sends(core)).to.equal(1);
  });

  it('does not pause for ever if requests that were on their way are refused later', () => {
    const core = createSmallCore();
    const attempts = [1, 2].map(() => planOf(core.arrive()).attempt);
    refuse(core, attempts[0] as number, pauseFor(500));
    pass(core, 400);
    refuse(core, attempts[1] as number, pauseFor(500));
    pass(core, 500);
    expect(sends(core)).to.equal(1);
  });

  it('is not held to a time that cannot be read, which is logged', () => {
    const core = createSmallCore();
    const { attempt } = planOf(core.arrive());
    const pause = { kind: 'unreadable', text: 'soon' } as const;
    const effects = core.dispatch({ kind: 'attemptAnswered', attempt, status: 503, pause });
    const [line] = effectsOf(effects, 'log').filter(({ code }) => code === 'pauseUnreadable');
    expect(line?.fields).to.include({ upstream: 'i-1', text: 'soon' });
    expect(sends(core)).to.equal(1);
  });

  [200, 421, 429, 500].forEach((status) => {
    it(`is not taken to ask for one in an answer with status ${status}`, () => {
      const core = createSmallCore();
      const { attempt } = planOf(core.arrive());
      core.dispatch({ kind: 'attemptAnswered', attempt, status, pause: pauseFor(60_000) });
      expect(sends(core)).to.equal(1);
    });
  });

  it('gets requests before the end of a huge time only if it has started again', () => {
    const core = createSmallCore();
    refuse(core, planOf(core.arrive()).attempt, pauseFor(Number.MAX_SAFE_INTEGER));
    pass(core, 60_000);
    expect(sends(core)).to.equal(0);
    core.list(createUpstreamEntry('i-1', { startedAt: 2 }));
    expect(sends(core)).to.equal(1);
  });

  it('gets no probe meanwhile, also if it does not respond', () => {
    const core = createSmallCore();
    const [refused, silent] = [1, 2].map(() => planOf(core.arrive()).attempt);
    refuse(core, refused as number, pauseFor(3_000));
    const outcome = { kind: 'cut', reason: 'reset' } as const;
    const cut = core.dispatch({ kind: 'attemptEnded', attempt: silent as number, outcome });
    expect(effectsOf(cut, 'probe')).to.be.empty;
    core.dispatch({
      kind: 'probed',
      upstream: 'i-1',
      upstreamStartedAt: 1,
      isAlive: false,
    });
    expect(effectsOf(pass(core, 2_900), 'probe')).to.be.empty;
    expect(effectsOf(pass(core, 1_500), 'probe')).to.not.be.empty;
  });

  it('counts the time for which the process was suspended, but no change of the time of day', () => {
    const core = createSmallCore();
    refuse(core, planOf(core.arrive()).attempt, pauseFor(2_000));
    core.dispatch({ kind: 'clockGap', gapMs: 1_900, clock: 'timeOfDay' });
    core.configure();
    expect(sends(core)).to.equal(0);
    core.dispatch({ kind: 'clockGap', gapMs: 1_900, clock: 'sinceBoot' });
    pass(core, 100);
    expect(sends(core)).to.equal(1);
  });

  it('comes back without a burst: one request at once, and its slots within a second', () => {
    const core = createSmallCore();
    refuse(core, planOf(core.arrive()).attempt, pauseFor(1_000));
    const ended = pass(core, 1_000);
    expect(effectsOf(ended, 'log').map(({ code }) => code)).to.include('pauseEnded');
    const burst = () =>
      Array.from({ length: 40 }, () => sends(core)).reduce((sum, sent) => sum + sent, 0);
    expect(burst()).to.equal(1);
    pass(core, 500);
    expect(burst()).to.be.within(8, 20);
    pass(core, 600);
    expect(sends(core)).to.equal(1);
  });

  it('is shown to operators with the time that is left', () => {
    const core = createSmallCore();
    refuse(core, planOf(core.arrive()).attempt, pauseFor(2_000));
    core.advance(500);
    const ctx = { state: core.routing.state, now: core.now(), effects: [] };
    const [paused] = listUpstreamStates(ctx).filter(({ upstream }) => upstream === 'i-1');
    expect(paused).to.include({ availability: 'paused', pausedForMs: 1_500 });
  });
});
