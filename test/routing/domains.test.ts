import { expect } from 'chai';
import fc from 'fast-check';
import { hash32 } from '../../src/core/hash.js';
import { countInstances } from '../../src/routing/exchange/countedInstances.js';
import { remoteWork } from '../../src/routing/exchange/fleetSums.js';
import { findBlockedCause, recordCrash } from '../../src/routing/suspects/suspects.js';
import { createFacts } from './support/core.js';
import {
  createCoreFleet,
  SHARED_PART,
  type CoreFleet,
  type FleetCore,
} from './support/coreFleet.js';

const DOMAINS = 4;
const PER_DOMAIN = 5;
const SETTINGS = { meshInstances: 6 };
/** Rounds in which a message gets from any instance over two relays to any other one. */
const PROPAGATION_ROUNDS = 4;
/** Rounds of 200 ms until a silent instance no longer counts, plus the propagation of the change. */
const TAKEOVER_ROUNDS = 13 + 2 * PROPAGATION_ROUNDS;

const createFleet = () => createCoreFleet(DOMAINS, PER_DOMAIN, SETTINGS);
const coreAt = (fleet: CoreFleet, id: string): FleetCore => {
  const core = fleet.cores.find(({ self }) => self.id === id);
  if (core === undefined) throw new Error(`no instance ${id}`);
  return core;
};

/** Running requests at all upstreams as an instance knows of them, including its own. */
function runningFor(fleet: CoreFleet, core: FleetCore): number {
  const ctx = fleet.context(core);
  let running = 0;
  ctx.state.upstreams.byId.forEach(({ hash, own }) => {
    running += own.running + remoteWork(ctx, hash).running;
  });
  return running;
}

const alive = (fleet: CoreFleet) => fleet.cores.filter(({ isAlive }) => isAlive);

describe('message exchange between failure domains', () => {
  it('reports all open work to every instance, and counts each request once', () => {
    const fleet = createFleet();
    fleet.rounds(PROPAGATION_ROUNDS);
    fleet.cores.forEach((core, i) => {
      if (i % 3 === 0) fleet.arrive(core);
    });
    fleet.rounds(PROPAGATION_ROUNDS);
    const expected = Math.ceil(fleet.cores.length / 3);
    fleet.cores.forEach((core) => expect(runningFor(fleet, core), core.self.id).to.equal(expected));
  });

  it('counts all instances', () => {
    const fleet = createFleet();
    fleet.rounds(2 * PROPAGATION_ROUNDS);
    fleet.cores.forEach((core) =>
      expect(countInstances(fleet.context(core)), core.self.id).to.equal(DOMAINS * PER_DOMAIN),
    );
  });

  it('sends one message per round from each domain to each other one', () => {
    const fleet = createFleet();
    fleet.rounds(2 * PROPAGATION_ROUNDS);
    const { crossDomain, all } = fleet.sent();
    expect(crossDomain).to.equal(DOMAINS * (DOMAINS - 1));
    expect(all - crossDomain).to.equal(DOMAINS * PER_DOMAIN * (PER_DOMAIN - 1));
  });

  it('continues through another instance after relays have crashed', () => {
    const fleet = createFleet();
    fleet.rounds(PROPAGATION_ROUNDS);
    coreAt(fleet, 'd1-0').isAlive = false;
    coreAt(fleet, 'd2-0').isAlive = false;
    coreAt(fleet, 'd2-1').isAlive = false;
    fleet.rounds(TAKEOVER_ROUNDS);
    fleet.arrive(coreAt(fleet, 'd1-4'));
    fleet.arrive(coreAt(fleet, 'd2-3'));
    fleet.rounds(PROPAGATION_ROUNDS);
    alive(fleet).forEach((core) => expect(runningFor(fleet, core), core.self.id).to.equal(2));
  });

  it('loses no summary during the planned stop of a relay', () => {
    const fleet = createFleet();
    fleet.rounds(PROPAGATION_ROUNDS);
    fleet.arrive(coreAt(fleet, 'd1-3'));
    fleet.rounds(PROPAGATION_ROUNDS);
    fleet.dispatch(coreAt(fleet, 'd1-0'), { kind: 'plannedStop' });
    for (let i = 0; i < TAKEOVER_ROUNDS; i += 1) {
      fleet.rounds(1);
      alive(fleet).forEach((core) => expect(runningFor(fleet, core), `${i}`).to.equal(1));
    }
  });

  it('discards the summary of an isolated domain, and uses it again once the links are restored', () => {
    const fleet = createFleet();
    fleet.rounds(PROPAGATION_ROUNDS);
    fleet.arrive(coreAt(fleet, 'd3-2'));
    fleet.rounds(PROPAGATION_ROUNDS);
    const far = coreAt(fleet, 'd0-4');
    fleet.isolateDomain('d3');
    fleet.rounds(TAKEOVER_ROUNDS);
    expect(runningFor(fleet, far)).to.equal(0);
    expect(fleet.logged(far)).to.include('domainLost');
    expect(runningFor(fleet, coreAt(fleet, 'd3-4')), 'within the domain').to.equal(1);
    fleet.isolateDomain(undefined);
    fleet.rounds(2 * PROPAGATION_ROUNDS);
    fleet.cores.forEach((core) => expect(runningFor(fleet, core), core.self.id).to.equal(1));
  });

  it('tells all instances which upstream has a shared part cached', () => {
    const fleet = createFleet();
    fleet.rounds(PROPAGATION_ROUNDS);
    fleet.arrive(coreAt(fleet, 'd2-3'));
    fleet.rounds(PROPAGATION_ROUNDS);
    const part = hash32(`m ${SHARED_PART}`);
    fleet.cores.forEach((core) => {
      const { state, now } = fleet.context(core);
      const caching = [...state.upstreams.byId.values()].filter(({ hash }) =>
        state.prefixes.isCached(part, hash, now),
      );
      expect(caching, core.self.id).to.have.length(1);
    });
  });

  it('judges a request alike on all instances by its crashes in all domains', () => {
    const fleet = createFleet();
    const facts = createFacts(77);
    const crash = (id: string) => {
      const ctx = fleet.context(coreAt(fleet, id));
      recordCrash(ctx, facts, { upstream: hash32(id), crashedAt: ctx.now, runMs: 50 });
    };
    const expectVerdict = (verdict: string | undefined) =>
      fleet.cores.forEach((core) => {
        const blocked = findBlockedCause(fleet.context(core), facts);
        expect(blocked?.verdict, core.self.id).to.equal(verdict);
      });
    fleet.rounds(PROPAGATION_ROUNDS);
    crash('d0-3');
    fleet.rounds(TAKEOVER_ROUNDS);
    expectVerdict(undefined);
    crash('d1-0');
    fleet.rounds(PROPAGATION_ROUNDS);
    expectVerdict('doubted');
    fleet.rounds(TAKEOVER_ROUNDS);
    crash('d2-4');
    fleet.rounds(PROPAGATION_ROUNDS);
    expectVerdict('proven');
  });

  it('reports all open work again after any instances have crashed and any domain was isolated', () => {
    fc.assert(
      fc.property(
        fc.subarray(
          createFleet().cores.map(({ self }) => self.id),
          { maxLength: 8 },
        ),
        fc.constantFrom(undefined, 'd0', 'd1', 'd2', 'd3'),
        fc.integer({ min: 0, max: 20 }),
        (dead, isolatedDomain, isolatedRounds) => {
          const fleet = createFleet();
          fleet.rounds(PROPAGATION_ROUNDS);
          dead.forEach((id) => {
            coreAt(fleet, id).isAlive = false;
          });
          fleet.isolateDomain(isolatedDomain);
          fleet.rounds(isolatedRounds);
          fleet.isolateDomain(undefined);
          fleet.rounds(2 * TAKEOVER_ROUNDS);
          alive(fleet).forEach((core) => fleet.arrive(core));
          fleet.rounds(PROPAGATION_ROUNDS);
          const expected = alive(fleet).length;
          alive(fleet).forEach((core) => expect(runningFor(fleet, core)).to.equal(expected));
        },
      ),
      { seed: 20261204, numRuns: 40 },
    );
  });
});
