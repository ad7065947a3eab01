import { expect } from 'chai';
import fc from 'fast-check';
import { ownerOf } from '../../src/core/ownership/ownership.js';
import { createTestView } from '../support/configuration.js';
import { createFakeNetwork, type FakeNetwork } from '../../src/bench/support/fakeNetwork.js';

const DOMAINS = ['d1', 'd2', 'd3'];
const UPSTREAMS = DOMAINS.flatMap((domain, d) =>
  [0, 1, 2, 3].map((n) => ({ id: `${domain}-e${n}`, domain, region: `r${d}` })),
);

function createFleet(seed: number, perDomain = 3, loss = 0): FakeNetwork {
  const instances = DOMAINS.flatMap((domain, d) =>
    Array.from({ length: perDomain }, (_, n) => ({
      id: `${domain}-i${n}`,
      domain,
      region: `r${d}`,
    })),
  );
  const view = createTestView({ upstreams: UPSTREAMS });
  return createFakeNetwork({
    seed,
    view,
    instances,
    loss,
    jitterMs: 20,
    duplication: loss,
    delayMs: (from, to) => (from.region === to.region ? 1 : 12),
  });
}

const memberIdsOf = (network: FakeNetwork, id: string) =>
  [...(network.nodes.get(id)?.core.state.membership.members.keys() ?? [])].sort();

const idsOfRunningNodes = (network: FakeNetwork) =>
  [...network.nodes.values()].filter((node) => node.isUp).map((node) => node.self.id);

function expectSameView(network: FakeNetwork, ids: readonly string[]): void {
  ids.forEach((id) => expect(memberIdsOf(network, id), id).to.deep.equal([...ids].sort()));
  UPSTREAMS.forEach((upstream) => {
    const owners = ids.map((id) => {
      const state = network.nodes.get(id)?.core.state;
      return state === undefined ? undefined : ownerOf(state, upstream.id);
    });
    expect(new Set(owners).size, upstream.id).to.equal(1);
    expect(ids).to.include(owners[0]);
  });
}

// Failure detection within the domain, then propagation to the relays, then to their members.
const SETTLE_MS = 3 * 4_000 + 6_000;

describe('fair/membership', () => {
  it('converges to one view and one owner per upstream', () => {
    const network = createFleet(1);
    network.runUntil(8_000);
    expectSameView(network, idsOfRunningNodes(network));
    network.nodes.forEach((node) => {
      UPSTREAMS.forEach((upstream) => {
        expect(ownerOf(node.core.state, upstream.id)).to.match(new RegExp(`^${upstream.domain}`));
      });
    });
  });

  it('converges after two concurrent faults: crash, restart without state or partition', () => {
    const fault = fc.record({
      kind: fc.constantFrom('crash', 'restart', 'partition'),
      target: fc.integer({ min: 0, max: 8 }),
    });
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1e6 }), fault, fault, (seed, first, second) => {
        const network = createFleet(seed, 3, 0.02);
        network.runUntil(8_000);
        const ids = [...network.nodes.keys()];
        [first, second].forEach(({ kind, target }) => {
          const id = ids[target] as string;
          if (kind === 'partition') {
            const side = id.slice(0, 2);
            network.partition((a, b) => a.startsWith(side) !== b.startsWith(side));
            return;
          }
          network.crash(id);
          if (kind === 'restart') network.at(network.now() + 1_500, () => network.restart(id));
        });
        network.runUntil(network.now() + 20_000);
        network.heal();
        network.runUntil(network.now() + SETTLE_MS);
        expectSameView(network, idsOfRunningNodes(network));
      }),
      { seed: 4, numRuns: 60 },
    );
  });

  it('does not count a listed instance as a member after it has crashed or left', () => {
    const network = createFleet(3);
    network.runUntil(8_000);
    network.crash('d1-i0');
    network.post('d2-i1', { kind: 'plannedStop' });
    network.runUntil(network.now() + SETTLE_MS);
    // The instance list still contains both.
    network.runUntil(network.now() + 30_000);
    network.nodes.forEach((_, id) => {
      if (id === 'd1-i0' || id === 'd2-i1') return;
      expect(memberIdsOf(network, id)).to.not.include('d1-i0');
      expect(memberIdsOf(network, id)).to.not.include('d2-i1');
    });
  });

  it('reunites the fleet after a partition while the instance list is empty', () => {
    const network = createFleet(5);
    network.runUntil(8_000);
    network.list([]);
    network.partition((a, b) => a.startsWith('d3') !== b.startsWith('d3'));
    network.runUntil(network.now() + 30_000);
    network.heal();
    network.runUntil(network.now() + SETTLE_MS);
    expectSameView(network, idsOfRunningNodes(network));
  });

  it('assigns the upstreams of a domain without instances within its region or the fleet', () => {
    const network = createFleet(6);
    network.runUntil(8_000);
    ['d1-i0', 'd1-i1', 'd1-i2'].forEach(network.crash);
    network.runUntil(network.now() + SETTLE_MS);
    expectSameView(network, idsOfRunningNodes(network));
  });
});
