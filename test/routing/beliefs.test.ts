import { expect } from 'chai';
import fc from 'fast-check';
import { createRouteTable } from '../../src/routing/routes/routeTable.js';
import { createRetryBudget } from '../../src/routing/retries/retryBudget.js';
import type { PollOutcome, UpstreamChange } from '../../src/routing/types.js';
import {
  answerOf,
  BOOK_ROUTE,
  createConfiguration,
  createTestCore,
  createUpstreamEntry,
  effectsOf,
  HOST,
  MODEL_ROUTE,
  planOf,
  type TestCore,
} from './support/core.js';

const failConfiguration = (core: TestCore) =>
  core.dispatch({
    kind: 'configurationPolled',
    askedAt: core.now(),
    isWhole: false,
    outcome: { kind: 'failed', reason: 'silent' },
  });

const pollUpstreams = (core: TestCore, outcome: PollOutcome<UpstreamChange>, isWhole = false) =>
  core.dispatch({ kind: 'upstreamsPolled', askedAt: core.now(), isWhole, outcome });

const upstreamIds = (core: TestCore) => [...core.routing.state.upstreams.byId.keys()];

describe('route table', () => {
  it('finds the longest prefix that begins the path', () => {
    const long = { ...MODEL_ROUTE, name: 'long', pathPrefix: '/draft/x/' };
    const table = createRouteTable([MODEL_ROUTE, long, BOOK_ROUTE]);
    expect(table.find(HOST, '/draft/x/1')?.name).to.equal('long');
    expect(table.find(HOST, '/draft/xy')?.name).to.equal('draft');
    expect(table.find(`${HOST.toUpperCase()}:80`, '/book/?a=/draft/')?.name).to.equal('book');
    expect(table.find(HOST, '/draft')).to.equal(undefined);
    expect(table.find('other', '/draft/1')).to.equal(undefined);
  });
});

describe('interval of upstream list reads', () => {
  const intervalFor = (drainMs: number): number => {
    const core = createTestCore({ drainMs });
    const timers = effectsOf(core.list(), 'setTimer');
    const poll = timers.find(({ timer }) => timer === 'upstreamPoll');
    return (poll?.at ?? NaN) - core.now();
  };

  it('is between a third and a half of the time within which a draining upstream must be noticed', () => {
    [2_500, 4_000, 10_000].forEach((drainMs) => {
      expect(intervalFor(drainMs) * 2, `${drainMs}`).to.be.below(drainMs);
      expect(intervalFor(drainMs) * 3, `${drainMs}`).to.be.above(drainMs);
    });
  });
});

describe('freshness of the configuration', () => {
  it('ends no later than the revocation time after the last confirmation', () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 20_000 }), (silentForMs) => {
        const core = createTestCore({ revokeMs: 5_000 });
        core.advance(silentForMs);
        failConfiguration(core);
        const isSent = effectsOf(core.arrive(), 'send').length > 0;
        // A key revoked right after the last confirmation must be refused by then.
        if (silentForMs >= 5_000) expect(isSent).to.equal(false);
        if (silentForMs <= 3_000) expect(isSent).to.equal(true);
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('is counted from the time at which the read was sent', () => {
    const core = createTestCore({ revokeMs: 5_000 });
    const askedAt = core.now();
    core.advance(6_000);
    core.dispatch({
      kind: 'configurationPolled',
      askedAt,
      isWhole: false,
      outcome: { kind: 'answered', cursor: 9, changes: [] },
    });
    expect(answerOf(core.arrive())?.reason).to.equal('staleConfiguration');
  });

  it('ends at once after a clock gap', () => {
    const core = createTestCore({ revokeMs: 5_000 });
    const effects = core.dispatch({ kind: 'clockGap', gapMs: 6_000 });
    expect(effectsOf(effects, 'setReady')).to.deep.equal([{ kind: 'setReady', isReady: false }]);
    expect(answerOf(core.arrive())?.reason).to.equal('staleConfiguration');
    // The pending read was sent before the clock gap.
    core.configure();
    expect(answerOf(core.arrive())?.reason).to.equal('staleConfiguration');
    core.configure();
    expect(effectsOf(core.arrive(), 'send')).to.have.length(1);
  });

  it('is not required for public routes', () => {
    const core = createTestCore();
    const routes = [{ ...MODEL_ROUTE, isPublic: true }];
    core.configure(createConfiguration({ version: 2, routes }));
    core.dispatch({ kind: 'clockGap', gapMs: 60_000 });
    expect(effectsOf(core.arrive({ path: '/draft/1' }), 'send')).to.have.length(1);
  });

  it('is required for a 401 or 404, since a newer configuration may allow the request', () => {
    const core = createTestCore();
    core.dispatch({ kind: 'clockGap', gapMs: 60_000 });
    expect(answerOf(core.arrive({ path: '/new/1' }))?.status).to.equal(503);
    expect(answerOf(core.arrive({ key: 'new' }))?.status).to.equal(503);
  });

  it('never returns to an older version, in whatever order versions arrive', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 30 }), { maxLength: 20 }), (versions) => {
        const core = createTestCore();
        let highest = 1;
        versions.forEach((version) => {
          core.configure(createConfiguration({ version }));
          highest = Math.max(highest, version);
          expect(core.routing.state.freshness.configuration?.version).to.equal(highest);
        });
      }),
      { seed: 2, numRuns: 100 },
    );
  });

  it('requires a read of the whole state if the history since the cursor is no longer available', () => {
    const core = createTestCore();
    const effects = core.dispatch({
      kind: 'configurationPolled',
      askedAt: core.now(),
      isWhole: false,
      outcome: { kind: 'expired' },
    });
    expect(effectsOf(effects, 'pollConfiguration')[0]?.cursor).to.equal(undefined);
  });
});

describe('reads while the platform is unavailable', () => {
  /** Returns the retry delays after consecutive failures of one kind of read. */
  function delaysOf(kind: 'configurationPolled' | 'upstreamsPolled' | 'instancesPolled') {
    const core = createTestCore();
    return Array.from({ length: 12 }, () => {
      const outcome = { kind: 'failed', reason: 'ECONNRESET' } as const;
      const effects = core.dispatch({ kind, askedAt: core.now(), isWhole: false, outcome });
      const at = effectsOf(effects, 'setTimer')[0]?.at ?? Infinity;
      const delayMs = at - core.now();
      core.advance(delayMs);
      return delayMs;
    });
  }

  (['configurationPolled', 'upstreamsPolled', 'instancesPolled'] as const).forEach((kind) => {
    it(`log its loss once and its return once: ${kind}`, () => {
      const core = createTestCore();
      const read = (outcome: PollOutcome<never>) =>
        effectsOf(core.dispatch({ kind, askedAt: core.now(), isWhole: false, outcome }), 'log')
          .map(({ code }) => code)
          .filter((code) => code === 'platformLost' || code === 'platformRegained');
      const failed = { kind: 'failed', reason: 'ECONNRESET' } as const;
      const answered = { kind: 'answered', cursor: 9, changes: [] } as const;
      expect(read(failed)).to.deep.equal(['platformLost']);
      expect(read(failed)).to.deep.equal([]);
      expect(read(answered)).to.deep.equal(['platformRegained']);
      expect(read(answered)).to.deep.equal([]);
    });
  });

  it('are retried less and less often, but often enough to notice changes in time', () => {
    const configuration = delaysOf('configurationPolled');
    const upstreams = delaysOf('upstreamsPolled');
    const instances = delaysOf('instancesPolled');
    [configuration, upstreams, instances].forEach((delays) => {
      expect(delays.at(-1)).to.be.above((delays[0] ?? 0) * 1.5);
    });
    // A configuration has to take effect, and a draining upstream to be avoided, within 2.5 s of
    // its publication.
    expect(Math.max(...configuration)).to.be.at.most(700);
    expect(Math.max(...upstreams)).to.be.at.most(1_500);
    expect(Math.max(...instances)).to.be.at.most(5_000);
  });
});

describe('list of upstreams', () => {
  const answered = (changes: readonly UpstreamChange[]): PollOutcome<UpstreamChange> => ({
    kind: 'answered',
    cursor: 5,
    changes,
  });

  it('removes an upstream as soon as its entry is removed', () => {
    const core = createTestCore();
    pollUpstreams(core, answered([{ kind: 'removed', id: 'i-1' }]));
    expect(upstreamIds(core)).to.not.include('i-1');
  });

  it('keeps upstreams that expired during a platform outage for another two seconds', () => {
    const core = createTestCore({ relistWithinMs: 2_000 });
    pollUpstreams(core, { kind: 'failed', reason: 'down' });
    core.advance(6_000);
    pollUpstreams(
      core,
      answered([
        { kind: 'removed', id: 'i-1' },
        { kind: 'removed', id: 'i-2' },
      ]),
    );
    expect(upstreamIds(core)).to.include.members(['i-1', 'i-2']);
    core.advance(1_000);
    core.list(createUpstreamEntry('i-1', { beat: 2 }));
    core.advance(1_100);
    core.dispatch({ kind: 'timer', timer: 'health' });
    expect(upstreamIds(core)).to.include('i-1');
    expect(upstreamIds(core)).to.not.include('i-2');
  });

  it('removes upstreams that a read of the whole state does not contain', () => {
    const core = createTestCore();
    pollUpstreams(
      core,
      answered([{ kind: 'listed', upstream: createUpstreamEntry('i-2', { beat: 3 }) }]),
      true,
    );
    expect(upstreamIds(core)).to.deep.equal(['i-2']);
  });

  it('treats a restart under the same id as another upstream', () => {
    const core = createTestCore();
    const plan = planOf(core.arrive());
    const id = plan.upstream;
    const effects = core.list(createUpstreamEntry(id, { startedAt: 9 }));
    expect(effectsOf(effects, 'forgetUpstream')).to.deep.equal([
      { kind: 'forgetUpstream', upstream: id, upstreamStartedAt: 1 },
    ]);
    // The end of the old attempt must not count against the new start.
    core.dispatch({
      kind: 'attemptEnded',
      attempt: plan.attempt,
      outcome: { kind: 'cut', reason: 'reset' },
    });
    expect(core.routing.state.upstreams.byId.get(id)?.own.running).to.equal(0);
  });

  it('ignores entries that are older than the known one', () => {
    const core = createTestCore();
    core.list(createUpstreamEntry('i-1', { phase: 'draining', beat: 5 }));
    core.list(createUpstreamEntry('i-1', { phase: 'ready', beat: 4 }));
    expect(core.routing.state.upstreams.byId.get('i-1')?.listed.phase).to.equal('draining');
  });
});

describe('retry budget', () => {
  it('limits retries to the ratio plus the slack in every sliding window', () => {
    const options = { ratio: 0.2, slack: 5, windowMs: 10_000 };
    fc.assert(
      fc.property(
        fc.array(fc.record({ afterMs: fc.integer({ min: 0, max: 900 }), isRetry: fc.boolean() }), {
          maxLength: 200,
        }),
        (steps) => {
          const budget = createRetryBudget();
          let now = 50_000;
          const requests: number[] = [];
          const retries: number[] = [];
          steps.forEach(({ afterMs, isRetry }) => {
            now += afterMs;
            if (!isRetry) {
              budget.recordRequest(now);
              requests.push(now);
            } else if (budget.tryConsume(now, options)) {
              retries.push(now);
            }
          });
          retries.forEach((start) => {
            const inWindow = (time: number) => time >= start && time < start + options.windowMs;
            // Requests of the previous window may have earned what is spent in this one.
            const earned = requests.filter(
              (time) => time >= start - 1_100 - options.windowMs && time < start + options.windowMs,
            ).length;
            const spent = retries.filter(inWindow).length;
            expect(spent).to.be.at.most(options.ratio * earned + options.slack + 1e-9);
          });
        },
      ),
      { seed: 3, numRuns: 200 },
    );
  });
});
