import { expect } from 'chai';
import fc from 'fast-check';
import { createRandom } from '../../src/core/random.js';
import { decideAdmission } from '../../src/routing/admission/admission.js';
import { fairLevel } from '../../src/routing/shares/tokenShares.js';
import type { RoutingEffect } from '../../src/routing/types.js';
import { createSpeed } from '../../src/routing/upstreams/speed.js';
import {
  answerOf,
  createConfiguration,
  createManyUpstreams,
  createTestCore,
  createUpstreamEntry,
  effectsOf,
  KEY,
  MODEL_ROUTE,
  planOf,
  sharedFacts,
  type TestCore,
} from './support/core.js';

function completeAttempt(core: TestCore, attempt: number): void {
  core.dispatch({ kind: 'attemptEnded', attempt, outcome: { kind: 'complete', status: 200 } });
}

describe('placement', () => {
  it('sends requests that share a prompt part to the same upstream, at all instances', () => {
    const homes = [1, 2, 3].map(() => {
      const core = createTestCore();
      core.list(...createManyUpstreams());
      return Array.from({ length: 20 }, (_, i) => {
        const plan = planOf(core.arrive(sharedFacts(`a${i}`, `b${i}`)));
        completeAttempt(core, plan.attempt);
        return plan.upstream;
      });
    });
    expect(homes[1]).to.deep.equal(homes[0]);
    expect(homes[2]).to.deep.equal(homes[0]);
    expect(new Set(homes[0]).size).to.be.at.least(6);
  });

  it('keeps most home upstreams when an upstream is added', () => {
    const homesWith = (count: number) => {
      const core = createTestCore();
      core.list(...createManyUpstreams().slice(0, count));
      return Array.from({ length: 100 }, (_, i) => {
        const plan = planOf(core.arrive({ ...sharedFacts(`a${i}`, `b${i}`), key: 'key-of-b' }));
        core.dispatch({ kind: 'callerGone', request: plan.request });
        core.advance(3_000);
        core.configure();
        return plan.upstream;
      });
    };
    const before = homesWith(11);
    const after = homesWith(12);
    const moved = before.filter((home, i) => home !== after[i]).length;
    // On average, one in fourteen moves.
    expect(moved).to.be.at.most(25);
  });

  it('reads a shared part again to avoid a refusal, but not to avoid a short wait', () => {
    const core = createTestCore();
    core.list(...createManyUpstreams());
    const placed = Array.from({ length: 60 }, (_, i) => core.arrive(sharedFacts('aa', `b${i}`)));
    const upstreams = placed.flatMap((effects) =>
      effectsOf(effects, 'send').map(({ plan }) => plan.upstream),
    );
    const atHome = upstreams.filter((upstream) => upstream === upstreams[0]).length;
    expect(atHome).to.be.at.least(10);
    expect(new Set(upstreams).size).to.be.at.least(2);
    expect(upstreams).to.have.length(60);
  });

  it('spreads requests without shared parts', () => {
    const core = createTestCore();
    core.list(...createManyUpstreams());
    const upstreams = Array.from({ length: 28 }, () => planOf(core.arrive()).upstream);
    expect(new Set(upstreams).size).to.equal(14);
  });

  it('prefers upstreams in the same domain, and uses those in other domains under load', () => {
    const core = createTestCore();
    const far = createUpstreamEntry('i-20', { domain: 'domain-b' });
    core.list(far);
    expect(planOf(core.arrive()).upstream).to.not.equal('i-20');
    const upstreams = Array.from({ length: 20 }, () => planOf(core.arrive()).upstream);
    expect(upstreams).to.include('i-20');
  });

  it('avoids an upstream that fails more often than others', () => {
    const core = createTestCore();
    for (let i = 0; i < 30; i += 1) {
      const plan = planOf(core.arrive({ path: '/book/1' }));
      const outcome =
        plan.upstream === 'i-3'
          ? ({ kind: 'failed', status: 500 } as const)
          : ({ kind: 'complete', status: 200 } as const);
      core.dispatch({ kind: 'attemptEnded', attempt: plan.attempt, outcome });
      core.advance(50);
    }
    const upstreams = Array.from({ length: 6 }, () => {
      const plan = planOf(core.arrive({ path: '/book/1' }));
      completeAttempt(core, plan.attempt);
      return plan.upstream;
    });
    expect(new Set(upstreams)).to.deep.equal(new Set(['i-4']));
  });
});

describe('speed of upstreams', () => {
  it('is estimated from times to first events', () => {
    const speed = createSpeed();
    const random = createRandom(4);
    for (let i = 0; i < 200; i += 1) {
      const tokens = random.next() * 40_000;
      speed.observe({ own: tokens, ahead: 0 }, 35 + tokens / 120 + random.next() * 10);
    }
    expect(1 / (speed.perTokenMs() ?? 0)).to.be.closeTo(120, 5);
    expect(speed.baseMs()).to.be.closeTo(40, 8);
  });
});

describe('admission', () => {
  const random = createRandom(1);
  const input = {
    unloadedMs: 0,
    promptReadMs: 0,
    shortestObjectiveMs: 500,
    waitFactor: 1,
    objectiveMs: 500,
    remainingMs: 12_000,
  };
  const share = { asked: 100, admitted: 100, level: Infinity, idleness: 0 };

  it('admits requests that can start within their objective and refuses the others at once', () => {
    expect(decideAdmission({ ...input, firstEventMs: 100 }, random).kind).to.equal('admit');
    expect(decideAdmission({ ...input, firstEventMs: 600 }, random)).to.include({
      kind: 'refuse',
      reason: 'overload',
    });
  });

  it('refuses a customer beyond its share earlier, but not while the expected time is short', () => {
    const over = { ...share, admitted: 200, level: 100 };
    expect(decideAdmission({ ...input, firstEventMs: 300, share: over }, random)).to.include({
      kind: 'refuse',
      reason: 'overShare',
    });
    expect(decideAdmission({ ...input, firstEventMs: 50, share: over }, random).kind).to.equal(
      'admit',
    );
    const within = { ...share, admitted: 90, level: 100 };
    expect(decideAdmission({ ...input, firstEventMs: 300, share: within }, random).kind).to.equal(
      'admit',
    );
  });

  it('admits a customer beyond its share where nobody waits, however slow upstreams are by themselves', () => {
    const over = { asked: 500, admitted: 200, level: 100, idleness: 0 };
    const slow = {
      ...input,
      unloadedMs: 150,
      promptReadMs: 10,
      shortestObjectiveMs: 300,
      share: over,
    };
    expect(decideAdmission({ ...slow, firstEventMs: 160 }, random).kind).to.equal('admit');
    expect(decideAdmission({ ...slow, firstEventMs: 220 }, random).kind).to.equal('refuse');
  });

  it('does not hold the wait at the instance against a customer beyond its share, but against the objective', () => {
    const over = { asked: 500, admitted: 200, level: 100, idleness: 0 };
    const busy = {
      ...input,
      unloadedMs: 50,
      promptReadMs: 10,
      ownDelayMs: 100,
      shortestObjectiveMs: 300,
      share: over,
    };
    expect(decideAdmission({ ...busy, firstEventMs: 155 }, random).kind).to.equal('admit');
    expect(decideAdmission({ ...busy, firstEventMs: 190 }, random).kind).to.equal('refuse');
    const late = { ...busy, ownDelayMs: 450, firstEventMs: 501 };
    expect(decideAdmission(late, random).kind).to.equal('refuse');
  });

  it('admits a customer beyond a low fair share at idle upstreams, unless it would have to wait', () => {
    const over = { asked: 2_000, admitted: 100, level: 50, idleness: 0.9 };
    const idle = {
      ...input,
      unloadedMs: 130,
      promptReadMs: 10,
      shortestObjectiveMs: 300,
      share: over,
    };
    expect(decideAdmission({ ...idle, firstEventMs: 130 }, random).kind).to.equal('admit');
    expect(decideAdmission({ ...idle, firstEventMs: 250 }, random).kind).to.equal('refuse');
  });

  it('spreads the retries of refused callers, within their deadlines', () => {
    const times = Array.from({ length: 50 }, () => {
      const decision = decideAdmission({ ...input, firstEventMs: 700 }, random);
      return decision.kind === 'refuse' ? decision.retryAfterMs : 0;
    });
    expect(Math.min(...times)).to.be.at.least(200);
    expect(Math.max(...times) - Math.min(...times)).to.be.at.least(100);
    const late = decideAdmission({ ...input, firstEventMs: 9_000, remainingMs: 900 }, random);
    expect(late.kind === 'refuse' && late.retryAfterMs).to.be.at.most(300);
  });

  it('gives six flooding customers equal shares, and the others all of their demand', () => {
    const level = fairLevel([5, 5, 5, 100, 100, 100, 100, 100, 100], 315);
    expect(level).to.equal(50);
  });

  it('allocates all of the capacity, and no customer more than its demand', () => {
    fc.assert(
      fc.property(
        fc.array(fc.double({ min: 0.1, max: 1_000, noNaN: true }), { minLength: 1, maxLength: 40 }),
        fc.double({ min: 1, max: 5_000, noNaN: true }),
        (demands, capacity) => {
          const level = fairLevel(demands, capacity);
          const given = demands.reduce((sum, demand) => sum + Math.min(demand, level), 0);
          const asked = demands.reduce((sum, demand) => sum + demand, 0);
          expect(given).to.be.closeTo(Math.min(asked, capacity), 1e-6 * capacity + 1e-6);
        },
      ),
      { seed: 5, numRuns: 300 },
    );
  });

  it('serves a customer within its share while another one floods', () => {
    const core = createTestCore();
    const engines = createFifoEngines(core);
    let served = 0;
    let floodServed = 0;
    for (let i = 0; i < 2_000; i += 1) {
      core.advance(5);
      if (i % 100 === 0) core.configure();
      engines.run();
      floodServed += engines.start(core.arrive({ key: 'key-of-b', promptTokens: 8_000 }));
      if (i % 20 === 10) served += engines.start(core.arrive({ promptTokens: 2_000 }));
    }
    // Both upstreams stay busy: two million tokens in ten seconds, with a tolerance of a tenth.
    expect(floodServed * 8_000 + served * 2_000).to.be.at.least(1_800_000);
    // At least nine in ten requests of the customer within its share are served.
    expect(served).to.be.at.least(90);
  });

  it('gives customers that flood at different rates similar throughput', () => {
    const core = createTestCore();
    const engines = createFifoEngines(core);
    const tokens = { a: 0, b: 0 };
    for (let i = 0; i < 2_000; i += 1) {
      core.advance(5);
      if (i % 100 === 0) core.configure();
      engines.run();
      for (let k = 0; k < 4; k += 1) {
        tokens.b += 4_000 * engines.start(core.arrive({ key: 'key-of-b', promptTokens: 4_000 }));
      }
      if (i % 4 === 0) tokens.a += 8_000 * engines.start(core.arrive({ promptTokens: 8_000 }));
    }
    // Both demand more than half of the capacity, so the smaller one is entitled to half. It must
    // get at least half as much as the larger one.
    expect(tokens.a).to.be.at.least(tokens.b / 2);
  });
});

describe('capacity after a loss of all upstreams', () => {
  it('is used again within seconds, although almost nothing was admitted in the meantime', () => {
    const core = createTestCore();
    const answerMs = 120;
    const engines = createFifoEngines(core, answerMs);
    const set = (phase: 'ready' | 'draining', beat: number) => {
      core.list(...['i-1', 'i-2'].map((id) => createUpstreamEntry(id, { phase, beat })));
    };
    const flood = (ms: number) => {
      let begun = 0;
      for (let i = 0; i < ms / 5; i += 1) {
        core.advance(5);
        if (i % 100 === 0) core.configure();
        engines.run();
        const b = { key: 'key-of-b', path: '/urgent/1', promptTokens: 2_000 };
        const a = { path: '/urgent/1', promptTokens: 2_000 };
        begun += engines.start([...core.arrive(b), ...core.arrive(a)]);
      }
      return begun;
    };
    const routes = [{ ...MODEL_ROUTE, pathPrefix: '/urgent/', objectiveMs: 300 }];
    const urgent = createConfiguration({ version: 2, routes });
    core.configure(urgent);
    flood(3_000);
    const before = flood(2_000);
    set('draining', 2);
    flood(8_000);
    set('ready', 3);
    flood(6_000);
    expect(flood(2_000)).to.be.at.least(before * 0.8);
  });
});

/**
 * Emulates upstreams that read prompts one at a time, at a hundred tokens per millisecond. Each
 * answer takes another `baseMs`.
 */
function createFifoEngines(core: TestCore, baseMs = 0) {
  const tokensPerMs = 100;
  const freeAt = new Map<string, number>();
  const ends: { attempt: number; at: number }[] = [];
  return {
    /** Starts the requests that were sent. Returns their number. */
    start: (effects: readonly RoutingEffect[]): number => {
      const sent = effectsOf(effects, 'send');
      sent.forEach(({ plan }) => {
        const tokens = core.routing.state.requests.attempts.get(plan.attempt)?.uncachedTokens ?? 0;
        const at = Math.max(core.now(), freeAt.get(plan.upstream) ?? 0) + tokens / tokensPerMs;
        freeAt.set(plan.upstream, at);
        ends.push({ attempt: plan.attempt, at: at + baseMs });
      });
      return sent.length;
    },
    /** Completes the requests that are due by now. */
    run: () => {
      ends
        .filter(({ at }) => at <= core.now())
        .forEach((end) => {
          ends.splice(ends.indexOf(end), 1);
          core.dispatch({ kind: 'attemptProgress', attempt: end.attempt });
          completeAttempt(core, end.attempt);
        });
    },
  };
}

describe('refusals under load', () => {
  it('tell a customer beyond its share from a service without capacity by their status', () => {
    const core = createTestCore();
    const answers = Array.from({ length: 3_000 }, (_, i) => {
      core.advance(2);
      if (i % 100 === 0) core.configure();
      const key = i % 10 === 0 ? 'key-of-b' : KEY;
      return answerOf(core.arrive({ ...sharedFacts(`a${i % 7}`, `b${i}`), key }));
    }).filter((answer) => answer !== undefined);
    const statusesOf = (wanted: string) =>
      new Set(answers.filter(({ reason }) => reason === wanted).map(({ status }) => status));
    expect([...statusesOf('overShare')]).to.deep.equal([429]);
    expect([...statusesOf('overload')]).to.deep.equal([503]);
    answers.forEach(({ retryAfterMs }) => expect(retryAfterMs).to.be.at.least(1));
  });
});
