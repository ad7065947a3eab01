import { expect } from 'chai';
import type { RoutingEffect } from '../../src/routing/types.js';
import { createCoreFleet, type FleetCore } from './support/coreFleet.js';
import {
  answerOf,
  createTestCore,
  createUpstreamEntry,
  effectsOf,
  planOf,
  type TestCore,
} from './support/core.js';

const REQUESTS = 20;
const CHAT = { path: '/chat/1' };

/** Has a request answered with the statement of its upstream that it leaves. */
function leave(core: TestCore, status = 200): string {
  const { attempt, upstream } = planOf(core.arrive());
  core.dispatch({ kind: 'attemptAnswered', attempt, status, isLeaving: true });
  return upstream;
}

/** The upstreams to which a number of requests are sent. */
function targets(core: TestCore): Set<string> {
  return new Set(Array.from({ length: REQUESTS }, () => planOf(core.arrive()).upstream));
}

const otherOf = (id: string) => (id === 'i-1' ? 'i-2' : 'i-1');

describe('an upstream that says in an answer that it leaves', () => {
  it('gets no request from the head of that answer on, and a line tells by whose word', () => {
    const core = createTestCore();
    const { attempt, upstream, request } = planOf(core.arrive());
    const said = core.dispatch({ kind: 'attemptAnswered', attempt, status: 200, isLeaving: true });
    const [line] = effectsOf(said, 'log').filter(({ code }) => code === 'upstreamLeaving');
    expect(line?.fields).to.include({ upstream, source: 'answer', request: `r${request}` });
    expect([...targets(core)]).to.deep.equal([otherOf(upstream)]);
  });

  it('is named in the lines of the requests that go elsewhere for it', () => {
    const core = createTestCore();
    const upstream = leave(core);
    const [line] = effectsOf(core.arrive(), 'log').filter(({ code }) => code === 'sent');
    expect(line?.fields.unwilling).to.equal(upstream);
  });

  it('is believed in a refusal, and the request goes on at another', () => {
    const core = createTestCore();
    const { attempt, upstream } = planOf(core.arrive());
    core.dispatch({ kind: 'attemptAnswered', attempt, status: 503, isLeaving: true });
    const outcome = { kind: 'declined', status: 503 } as const;
    const repeat = core.dispatch({ kind: 'attemptEnded', attempt, outcome });
    expect(planOf(repeat).upstream).to.equal(otherOf(upstream));
    expect([...targets(core)]).to.deep.equal([otherOf(upstream)]);
  });

  it('keeps its running answers, and gets no stream that another has broken off', () => {
    const core = createTestCore();
    const leaving = planOf(core.arrive(CHAT));
    core.dispatch({
      kind: 'attemptAnswered',
      attempt: leaving.attempt,
      status: 200,
      isLeaving: true,
    });
    const broken = planOf(core.arrive(CHAT));
    core.dispatch({ kind: 'attemptAnswered', attempt: broken.attempt, status: 200 });
    core.dispatch({ kind: 'attemptProgress', attempt: broken.attempt });
    const outcome = { kind: 'cut', reason: 'reset' } as const;
    const ended = core.dispatch({ kind: 'attemptEnded', attempt: broken.attempt, outcome });
    expect(effectsOf(ended, 'send')).to.be.empty;
    expect(effectsOf(ended, 'cutAnswer')).to.have.lengthOf(1);
    expect(core.routing.state.requests.attempts.has(leaving.attempt)).to.equal(true);
  });

  it('is not the one that was meant if another upstream has taken over its address', () => {
    const core = createTestCore();
    leave(core, 421);
    expect(core.routing.state.upstreams.leaving.size).to.equal(0);
  });

  it('stays left out when an older entry is listed again, until a later start is listed', () => {
    const core = createTestCore();
    const upstream = leave(core);
    core.dispatch({
      kind: 'upstreamsPolled',
      askedAt: core.now(),
      isWhole: false,
      outcome: { kind: 'answered', cursor: 50, changes: [{ kind: 'removed', id: upstream }] },
    });
    core.list(createUpstreamEntry(upstream, { beat: 5 }));
    expect([...targets(core)]).to.deep.equal([otherOf(upstream)]);
    core.list(createUpstreamEntry(upstream, { startedAt: 2 }));
    expect([...targets(core)]).to.include(upstream);
  });

  it('leads to a refusal at once if there is no other, and requests go to the first new one', () => {
    const core = createTestCore();
    leave(core);
    leave(core);
    const refused = core.arrive();
    expect(answerOf(refused)).to.include({ status: 503, reason: 'noUpstream' });
    expect(answerOf(refused)?.retryAfterMs).to.be.above(0);
    core.list(createUpstreamEntry('i-7'));
    expect([...targets(core)]).to.deep.equal(['i-7']);
  });
});

describe('an upstream that says to one instance that it leaves', () => {
  /** Has the first instance be told; returns the upstream. */
  function tell(fleet: ReturnType<typeof createCoreFleet>, [first]: readonly FleetCore[]): string {
    const core = first as FleetCore;
    const { attempt, upstream } = planOf(fleet.arrive(core));
    fleet.dispatch(core, { kind: 'attemptAnswered', attempt, status: 200, isLeaving: true });
    return upstream;
  }

  const upstreamOf = (effects: readonly RoutingEffect[]) => planOf(effects).upstream;

  it('gets no more requests of the others, once they have heard of it', () => {
    const fleet = createCoreFleet(1, 4);
    fleet.rounds(10);
    const upstream = tell(fleet, fleet.cores);
    fleet.rounds(2);
    fleet.cores.forEach((core) => {
      expect(upstreamOf(fleet.arrive(core))).to.equal(otherOf(upstream));
    });
  });

  it('gets no more of those in other domains either if relays connect them', () => {
    const fleet = createCoreFleet(3, 5);
    fleet.rounds(10);
    const upstream = tell(fleet, fleet.cores);
    fleet.rounds(6);
    fleet.cores.forEach((core) => {
      expect(upstreamOf(fleet.arrive(core))).to.equal(otherOf(upstream));
    });
  });

  it('gets none of an instance that starts later, while the list calls it ready', () => {
    const fleet = createCoreFleet(1, 4);
    const late = fleet.cores[3] as FleetCore;
    late.isAlive = false;
    fleet.rounds(10);
    const upstream = tell(fleet, fleet.cores);
    fleet.rounds(120);
    late.isAlive = true;
    fleet.rounds(10);
    expect(upstreamOf(fleet.arrive(late))).to.equal(otherOf(upstream));
  });
});
