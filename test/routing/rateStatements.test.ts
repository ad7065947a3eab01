import { expect } from 'chai';
import { RoutingNews } from '../../src/protocol/generated/peer.js';
import { listLimits } from '../../src/routing/rateLimits/rateLimits.js';
import type { RateStatement, RoutingEffect } from '../../src/routing/types.js';
import { answerOf, createTestCore, effectsOf, planOf, type TestCore } from './support/core.js';

const LIMITED: RateStatement = { kind: 'limited', perSecond: 100 };

/** Has a request sent and answered; returns the effects of the answer. */
function answer(core: TestCore, rate: RateStatement): readonly RoutingEffect[] {
  core.advance(100);
  return state(core, planOf(core.arrive()).attempt, rate);
}

/** Has an attempt answered with a statement. */
function state(core: TestCore, attempt: number, rate: RateStatement): readonly RoutingEffect[] {
  return core.dispatch({ kind: 'attemptAnswered', attempt, status: 200, rate });
}

/** Creates a core with one upstream that takes model requests. */
function createLimitedCore(): TestCore {
  const core = createTestCore();
  core.list({ ...listed(core, 'i-2'), phase: 'draining', beat: 2 });
  return core;
}

const loggedEvents = (effects: readonly RoutingEffect[]) =>
  effectsOf(effects, 'log').map(({ code }) => code);

describe('what upstreams state of their rate', () => {
  it('is logged once, when it changes and when it ends', () => {
    const core = createLimitedCore();
    expect(loggedEvents(answer(core, { kind: 'unlimited' }))).to.not.include('limitEnded');
    expect(loggedEvents(answer(core, LIMITED))).to.include('limitStated');
    expect(loggedEvents(answer(core, LIMITED))).to.not.include('limitStated');
    core.advance(2_000);
    expect(loggedEvents(answer(core, { kind: 'unlimited' }))).to.include('limitEnded');
  });

  it('is logged if it cannot be read, and then changes nothing', () => {
    const core = createLimitedCore();
    answer(core, LIMITED);
    core.advance(1_000);
    const events = loggedEvents(answer(core, { kind: 'unreadable', text: '-3' }));
    expect(events).to.include('limitUnreadable');
    expect(events).to.not.include('limitEnded');
  });

  it('ends only with an answer to a request that was sent after the statement', () => {
    const core = createLimitedCore();
    const early = planOf(core.arrive());
    core.advance(100);
    const late = planOf(core.arrive());
    core.advance(100);
    state(core, late.attempt, LIMITED);
    expect(loggedEvents(state(core, early.attempt, { kind: 'unlimited' }))).to.not.include(
      'limitEnded',
    );
    expect(loggedEvents(answer(core, { kind: 'unlimited' }))).to.include('limitEnded');
  });

  it('counts if it stands in a refusal', () => {
    const core = createLimitedCore();
    const { attempt } = planOf(core.arrive());
    const effects = core.dispatch({ kind: 'attemptAnswered', attempt, status: 503, rate: LIMITED });
    expect(loggedEvents(effects)).to.include('limitStated');
  });

  it('does not count if another upstream at the same address states it', () => {
    const core = createLimitedCore();
    const { attempt } = planOf(core.arrive());
    const effects = core.dispatch({ kind: 'attemptAnswered', attempt, status: 421, rate: LIMITED });
    expect(loggedEvents(effects)).to.not.include('limitStated');
  });

  it('holds no more after the upstream has started again under its id', () => {
    const core = createLimitedCore();
    answer(core, { kind: 'limited', perSecond: 0 });
    core.advance(100);
    expect(effectsOf(core.arrive(), 'send')).to.be.empty;
    core.list({ ...listed(core, 'i-1'), startedAt: 2, beat: 1 });
    expect(effectsOf(core.arrive(), 'send')).to.have.lengthOf(1);
  });

  it('still holds after the upstream was removed from the list and is listed again', () => {
    const core = createLimitedCore();
    answer(core, { kind: 'limited', perSecond: 0 });
    const entry = listed(core, 'i-1');
    core.dispatch({
      kind: 'upstreamsPolled',
      askedAt: core.now(),
      isWhole: false,
      outcome: { kind: 'answered', cursor: 50, changes: [{ kind: 'removed', id: 'i-1' }] },
    });
    core.list(entry);
    expect(effectsOf(core.arrive(), 'send')).to.be.empty;
  });

  it('is shown to operators with its age and its use', () => {
    const core = createLimitedCore();
    answer(core, LIMITED);
    core.advance(500);
    const ctx = { state: core.routing.state, now: core.now(), effects: [] };
    const [limit, ...others] = listLimits(ctx);
    expect(others).to.be.empty;
    expect(limit).to.include({
      upstream: 'i-1',
      perSecond: 100,
      ageMs: 500,
      sent: 1,
      sentByFleet: 1,
    });
  });

  it('leaves requests to the other upstreams, and names those that were passed over', () => {
    const core = createTestCore();
    const limited = planOf(core.arrive());
    state(core, limited.attempt, { kind: 'limited', perSecond: 0 });
    core.advance(100);
    const effects = core.arrive();
    expect(planOf(effects).upstream).to.not.equal(limited.upstream);
  });

  it('leads to a refusal with a time to come back if no upstream accepts more', () => {
    const core = createLimitedCore();
    answer(core, { kind: 'limited', perSecond: 0 });
    core.advance(100);
    const effects = core.arrive({ deadlineMs: 3_000 });
    const refusal = answerOf(effects);
    expect(refusal).to.include({ status: 503, reason: 'upstreamsLimited' });
    expect(refusal?.retryAfterMs).to.be.within(100, 1_500);
    const [line] = effectsOf(effects, 'log').filter(({ code }) => code === 'upstreamsLimited');
    expect(line?.fields).to.include({ request: 'r2', passedOver: 'i-1' });
  });

  it('is heard from other instances, and odd numbers among their news change nothing', () => {
    const core = createLimitedCore();
    const announced = { incarnation: 1, domain: 'domain-a', region: 'region-a' };
    const peer = { ...announced, id: 'peer', address: '10.0.0.8:1' };
    const outcome = { kind: 'answered', cursor: 1, changes: [peer] } as const;
    core.dispatch({ kind: 'instancesPolled', askedAt: 0, isWhole: true, outcome });
    const hash = core.routing.state.upstreams.byId.get('i-1')?.hash ?? 0;
    const hear = (sequence: number, perSecond: number, wantedPerSecond: number) => {
      const news = {
        upstream: hash,
        perSecond,
        isEnded: false,
        ageMs: 50,
        wantedPerSecond,
        sent: 3,
      };
      const message = { ...RoutingNews.decode(new Uint8Array()), sequence, rateLimits: [news] };
      core.dispatch({ kind: 'peerMessage', from: 'peer', incarnation: 1, message });
    };
    hear(1, Number.NaN, 1);
    hear(2, -1, 1);
    hear(3, 5, Number.POSITIVE_INFINITY);
    expect(effectsOf(core.arrive(), 'send')).to.have.lengthOf(1);
    hear(4, 0, 1);
    core.advance(100);
    expect(effectsOf(core.arrive(), 'send')).to.be.empty;
  });
});

function listed({ routing }: TestCore, id: string) {
  const upstream = routing.state.upstreams.byId.get(id);
  if (upstream === undefined) throw new Error(`${id} is not listed`);
  return upstream.listed;
}
