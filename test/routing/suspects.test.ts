import { expect } from 'chai';
import fc from 'fast-check';
import { addCrash, countSuccessiveCrashes, type Crash } from '../../src/routing/suspects/crash.js';
import {
  findBlockedCause,
  recordAnswered,
  recordCrash,
  tryTrial,
} from '../../src/routing/suspects/suspects.js';
import type { RequestFacts } from '../../src/routing/types.js';
import { createFacts } from './support/core.js';
import { CONTACT_MS } from './support/deadlyPart.js';
import { createTimedFleet, type TimedCore, type TimedFleet } from './support/timedFleet.js';

const DEADLY = 'deadly';
const FIRST_CRASH_AT = 5_000;
const CRASH_INTERVAL_MS = 400;

let requests = 0;
/** Facts of a request unlike all others, with the given shared parts. */
function factsWith(...shared: readonly string[]): RequestFacts {
  requests += 1;
  const prefix = [...shared, `own-${requests}`].map((id) => ({ id, tokens: 500 }));
  return createFacts(requests, { prefix });
}

/** Has an upstream crash while an instance has a request there. */
function crashAt(fleet: TimedFleet, core: TimedCore, facts: RequestFacts, upstream: number): void {
  const ctx = fleet.context(core);
  recordCrash(ctx, facts, { upstream, crashedAt: ctx.now, runMs: 100 });
}

/** Has upstreams crash one after the other, each on a request at another instance. */
function crashInTurn(fleet: TimedFleet, count: number, ...shared: readonly string[]): void {
  for (let i = 0; i < count; i += 1) {
    const index = (i * 67) % fleet.cores.length;
    fleet.simulation.at(FIRST_CRASH_AT + i * CRASH_INTERVAL_MS, () => {
      crashAt(fleet, fleet.cores[index] as TimedCore, factsWith(...shared), i);
    });
  }
}

const isBlocked = (fleet: TimedFleet, core: TimedCore, ...shared: readonly string[]) =>
  findBlockedCause(fleet.context(core), factsWith(...shared)) !== undefined;

const countBlocking = (fleet: TimedFleet, ...shared: readonly string[]) =>
  fleet.cores.filter((core) => isBlocked(fleet, core, ...shared)).length;

describe('suspected causes of crashes', () => {
  describe('counts of crashes', () => {
    const crashes = fc.array(
      fc.record({
        upstream: fc.integer({ min: 1, max: 6 }),
        crashedAt: fc.integer({ min: 0, max: 20_000 }),
        runMs: fc.integer({ min: 0, max: 5_000 }),
      }),
      { maxLength: 8 },
    );

    it('do not depend on the order in which crashes are reported, if no two are on one upstream', () => {
      fc.assert(
        fc.property(crashes, fc.integer(), (drawn, seed) => {
          const distinct = drawn.map((crash, i) => ({ ...crash, upstream: i }));
          const shuffled = [...distinct].sort(
            (a, b) => ((a.upstream * seed) % 7) - ((b.upstream * seed) % 7),
          );
          const count = (all: readonly Crash[]) =>
            countSuccessiveCrashes(
              all.reduce<readonly Crash[]>((sum, one) => addCrash(sum, one, false), []),
            );
          expect(count(shuffled)).to.equal(count(distinct));
        }),
        { seed: 20_261_204, numRuns: 500 },
      );
    });

    it('do not change when a crash is reported again', () => {
      fc.assert(
        fc.property(crashes, (drawn) => {
          const once = drawn.reduce<readonly Crash[]>((sum, one) => addCrash(sum, one, false), []);
          const twice = once.reduce((sum, one) => addCrash(sum, one, false), once);
          expect(twice).to.equal(once);
        }),
        { seed: 20_261_204, numRuns: 500 },
      );
    });

    it('count twenty upstreams that lose power at once as one crash', () => {
      const lost = Array.from({ length: 20 }, (_, i) => ({
        upstream: i,
        crashedAt: 1_000 + (i % 5) * 40,
        runMs: 20 + i * 30,
      }));
      expect(
        countSuccessiveCrashes(
          lost.reduce<readonly Crash[]>((sum, one) => addCrash(sum, one, false), []),
        ),
      ).to.equal(1);
    });
  });

  describe('among 198 instances in six domains', () => {
    [0, 0.1].forEach((loss) => {
      it(`are known to all within the time of contact after the fifth crash (${loss * 100} % of messages lost)`, () => {
        const fleet = createTimedFleet({ domains: 6, perDomain: 33, loss });
        crashInTurn(fleet, 5, 'shared', DEADLY);
        const fifthAt = FIRST_CRASH_AT + 4 * CRASH_INTERVAL_MS;
        fleet.simulation.runUntil(fifthAt + CONTACT_MS);
        expect(countBlocking(fleet, DEADLY)).to.equal(fleet.cores.length);
      });
    });

    it('are part of no message as long as there is no crash', () => {
      const fleet = createTimedFleet({ domains: 6, perDomain: 33 });
      fleet.simulation.runUntil(FIRST_CRASH_AT - 1);
      expect(fleet.entriesSent()).to.equal(0);
    });
  });

  it('are learnt by an instance that has just started', () => {
    const fleet = createTimedFleet({ domains: 3, perDomain: 3 });
    crashInTurn(fleet, 3, DEADLY);
    fleet.simulation.runUntil(FIRST_CRASH_AT + 60_000);
    const started = fleet.restart(4);
    fleet.simulation.runUntil(FIRST_CRASH_AT + 60_000 + CONTACT_MS);
    expect(isBlocked(fleet, started, DEADLY)).to.equal(true);
  });

  it('are known on both sides of a cut once it has healed', () => {
    let isHealed = false;
    const fleet = createTimedFleet({
      domains: 3,
      perDomain: 3,
      isCut: (from, to) => !isHealed && (from.domain === 'd0') !== (to.domain === 'd0'),
    });
    crashInTurn(fleet, 5, DEADLY);
    fleet.simulation.runUntil(FIRST_CRASH_AT + 10_000);
    isHealed = true;
    fleet.simulation.runUntil(FIRST_CRASH_AT + 10_000 + CONTACT_MS);
    expect(countBlocking(fleet, DEADLY)).to.equal(fleet.cores.length);
  });

  it('are cleared everywhere once a request with them is answered anywhere', () => {
    const fleet = createTimedFleet({ domains: 6, perDomain: 5 });
    crashInTurn(fleet, 4, 'shared', DEADLY);
    fleet.simulation.at(FIRST_CRASH_AT + 2_000, () => {
      recordAnswered(fleet.context(fleet.cores[11] as TimedCore), factsWith('shared'));
    });
    fleet.simulation.runUntil(FIRST_CRASH_AT + 2_000 + CONTACT_MS);
    expect(countBlocking(fleet, 'shared')).to.equal(0);
    expect(countBlocking(fleet, DEADLY)).to.equal(fleet.cores.length);
  });

  it('stay cleared although an old report of a crash arrives late', () => {
    const fleet = createTimedFleet({ domains: 3, perDomain: 3, loss: 0.5 });
    for (let i = 0; i < 6; i += 1) {
      fleet.simulation.at(FIRST_CRASH_AT + i * CRASH_INTERVAL_MS, () => {
        crashAt(fleet, fleet.cores[i] as TimedCore, factsWith('shared'), i);
        recordAnswered(fleet.context(fleet.cores[8 - i] as TimedCore), factsWith('shared'));
      });
    }
    fleet.simulation.at(FIRST_CRASH_AT + 4_000, () => {
      recordAnswered(fleet.context(fleet.cores[2] as TimedCore), factsWith('shared'));
    });
    fleet.simulation.runUntil(FIRST_CRASH_AT + 4_000 + CONTACT_MS);
    expect(countBlocking(fleet, 'shared')).to.equal(0);
  });

  describe('that are refused', () => {
    const STEP_MS = 100;

    /** Has every instance ask for a request with the parts all the time; returns the trials. */
    function countTrials(
      fleet: TimedFleet,
      from: number,
      until: number,
      shared: readonly string[],
      onTrial: (core: TimedCore, facts: RequestFacts, trial: number) => void,
    ): number {
      let trials = 0;
      const ask = (core: TimedCore) => {
        const facts = factsWith(...shared);
        const ctx = fleet.context(core);
        if (findBlockedCause(ctx, facts) === undefined || !tryTrial(ctx, facts)) return;
        trials += 1;
        onTrial(core, facts, trials);
      };
      const askAll = () => fleet.cores.forEach(ask);
      for (let at = from; at < until; at += STEP_MS) fleet.simulation.at(at, askAll);
      fleet.simulation.runUntil(until);
      return trials;
    }

    it('cost at most three upstreams of the whole fleet in the next five minutes', () => {
      const fleet = createTimedFleet({ domains: 3, perDomain: 2 });
      crashInTurn(fleet, 5, DEADLY);
      const from = FIRST_CRASH_AT + 4_000;
      const trials = countTrials(fleet, from, from + 300_000, [DEADLY], (core, facts, trial) => {
        fleet.simulation.after(300, () => crashAt(fleet, core, facts, 100 + trial));
      });
      expect(trials).to.be.within(1, 3);
      expect(countBlocking(fleet, DEADLY)).to.equal(fleet.cores.length);
    });

    it('are served again after one to three trials once upstreams are mended', () => {
      const fleet = createTimedFleet({ domains: 3, perDomain: 4 });
      crashInTurn(fleet, 3, DEADLY);
      fleet.simulation.runUntil(FIRST_CRASH_AT + 4_000);
      const from = FIRST_CRASH_AT + 4_000;
      const trials = countTrials(fleet, from, from + 60_000, [DEADLY], (core, facts) => {
        fleet.simulation.after(1_000, () => recordAnswered(fleet.context(core), facts));
      });
      expect(trials).to.be.within(1, 3);
      expect(countBlocking(fleet, DEADLY)).to.equal(0);
    });

    it('are tried at once if another refused cause explains all of their crashes', () => {
      const fleet = createTimedFleet({ domains: 3, perDomain: 4 });
      crashInTurn(fleet, 3, 'blamed', DEADLY);
      fleet.simulation.runUntil(FIRST_CRASH_AT + 4_000);
      const from = FIRST_CRASH_AT + 4_000;
      const trials = countTrials(fleet, from, from + 5_000, ['blamed'], (core, facts) => {
        fleet.simulation.after(1_000, () => recordAnswered(fleet.context(core), facts));
      });
      expect(trials).to.be.within(1, 3);
      expect(countBlocking(fleet, 'blamed')).to.equal(0);
      expect(countBlocking(fleet, DEADLY)).to.equal(fleet.cores.length);
    });
  });

  it('stay refused although a caller makes up any number of parts, in bounded memory', () => {
    const fleet = createTimedFleet({ domains: 1, perDomain: 1 });
    crashInTurn(fleet, 3, DEADLY);
    fleet.simulation.runUntil(FIRST_CRASH_AT + 4_000);
    const [core] = fleet.cores as [TimedCore];
    for (let i = 0; i < 20_000; i += 1) {
      const facts = factsWith(`made-up-${i}`, `also-${i}`);
      if (i % 2 === 0) crashAt(fleet, core, facts, 1_000);
      else recordAnswered(fleet.context(core), facts);
    }
    const { suspects, answeredAt, queue } = core.routing.state.suspects;
    expect(isBlocked(fleet, core, DEADLY)).to.equal(true);
    expect(suspects.size).to.be.at.most(8_500);
    expect(answeredAt.size).to.be.at.most(8_000);
    expect(queue.size).to.be.at.most(4_000);
  });
});
