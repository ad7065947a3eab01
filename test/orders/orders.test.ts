import { expect } from 'chai';
import fc from 'fast-check';
import { createFakeEngines, type FakeEngines } from '../../src/bench/configuration/fakeEngines.js';
import {
  createFakeFleet,
  type FakeFleet,
  type FakeInstance,
} from '../../src/bench/configuration/fakeFleet.js';
import { createCore } from '../../src/core/core.js';
import {
  createOrdersFold,
  foldOrder,
  type OrderRecord,
} from '../../src/core/orders/orderRecords.js';
import { createTestView } from '../support/configuration.js';
import { BASE_DOCUMENT, PLATFORM_HASH } from '../support/edits.js';

const ENGINES = 8;
const SERVING_SHARE = 0.75;
const MAX_LOADS = ENGINES * (1 - SERVING_SHARE);

const ids = Array.from({ length: ENGINES }, (_, i) => `e${i}`);

function documentWith(version: string): string {
  const upstreams = ids
    .map((id, i) => {
      const checks = i % 2 === 0;
      return `  ${id}: { pool: chat, url: 'http://127.0.0.1:${i + 1}', domain: d${i % 2}, region: r, checksOrders: ${checks} }`;
    })
    .join('\n');
  const base = BASE_DOCUMENT.replace(/upstreams:\n.*\n/, `upstreams:\n${upstreams}\n`);
  return `${base}placement:
  chat: { model: m, version: '${version}', adapters: [a], servingShare: ${SERVING_SHARE} }
limits: { concurrentLoads: 8 }
`;
}

function publish(fleet: FakeFleet, editId: string, baseVersion: number, text: string): void {
  fleet.command(
    fleet.instances[0] as FakeInstance,
    {
      kind: 'publish',
      editId,
      section: 'document',
      baseVersion,
      text,
      author: 'op',
      keyHash: PLATFORM_HASH,
    },
    () => undefined,
  );
}

function createScenario(seed: number, lostOrderReplies = 0) {
  const engines = createFakeEngines({
    ids,
    checksOrderNumber: (id) => Number(id.slice(1)) % 2 === 0,
    loadMs: 3_000,
  });
  const settings = { ordersTickMs: 500, orderTimeoutMs: 20_000 };
  const options = { instances: 4, domains: 2, seed, settings, engines, lostOrderReplies };
  const fleet = createFakeFleet(options);
  fleet.run(1_500);
  publish(fleet, 'base', -1, documentWith('1'));
  return { engines, fleet };
}

const allHold = (engines: FakeEngines, version: string) =>
  [...engines.engines.values()].every(
    (engine) => engine.version === version && engine.adapters.includes('a'),
  );

function runUntilHeld(fleet: FakeFleet, engines: FakeEngines, version: string, ms: number) {
  return fleet.runUntil(() => {
    expect(engines.loadingCount(fleet.now())).to.be.at.most(MAX_LOADS);
    return allHold(engines, version);
  }, ms);
}

describe('orders to engines', () => {
  it('bring every engine to its placement while the serving share keeps serving', () => {
    const { engines, fleet } = createScenario(1);
    expect(runUntilHeld(fleet, engines, '1', 120_000)).to.not.equal(undefined);
    engines.engines.forEach((engine) => expect(engine.loads).to.equal(1));
    publish(fleet, 'second', 0, documentWith('2'));
    expect(runUntilHeld(fleet, engines, '2', 120_000)).to.not.equal(undefined);
    engines.engines.forEach((engine) => expect(engine.loads).to.equal(2));
    const appends = fleet.log.streams.get('orders')?.length;
    fleet.run(20_000);
    expect(fleet.log.streams.get('orders')?.length).to.be.at.most((appends ?? 0) + ENGINES);
  });

  it('reach the placement despite lost replies, restarts and an outage of the log', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 1_000 }),
        fc.array(fc.nat(3), { maxLength: 4 }),
        (seed, restarts) => {
          const { engines, fleet } = createScenario(seed, 0.5);
          for (const index of restarts) {
            fleet.run(3_000);
            const instance = fleet.instances[index] as FakeInstance;
            fleet.stop(instance);
            fleet.run(500);
            fleet.start(instance);
          }
          // The document has been accepted by now, so the outage affects only the orders.
          fleet.run(3_000);
          fleet.log.isDown = true;
          fleet.run(2_000);
          fleet.log.isDown = false;
          expect(fleet.runUntil(() => allHold(engines, '1'), 300_000)).to.not.equal(undefined);
        },
      ),
      { seed: 6, numRuns: 4 },
    );
  });

  it('correct an engine that executed a late order of a paused owner', () => {
    const { engines, fleet } = createScenario(2);
    expect(runUntilHeld(fleet, engines, '1', 120_000)).to.not.equal(undefined);
    const late = { kind: 'load-model', model: 'm', version: '0' } as const;
    expect(engines.giveOrder('e0', 0, late, fleet.now())).to.equal('stale');
    expect(engines.giveOrder('e1', 0, late, fleet.now())).to.equal('accepted');
    fleet.run(4_000);
    expect(engines.engines.get('e1')?.version).to.equal('0');
    expect(runUntilHeld(fleet, engines, '1', 60_000)).to.not.equal(undefined);
  });
});

describe('an owner that was paused between proposing and sending an order', () => {
  const self = { id: 'a', incarnation: 1, address: '127.0.0.1:1', domain: 'd1', region: 'r1' };
  const placement = [
    {
      pool: 'chat',
      model: 'm',
      version: '1',
      adapters: [],
      minUpstreams: 1,
      maxUpstreams: 9,
      servingShare: 0,
    },
  ];

  /** Returns how many orders are sent if the record is read back `pauseMs` after its append. */
  function ordersSentAfter(pauseMs: number): number {
    const initialConfiguration = { ...createTestView(), placement };
    const core = createCore({ self, seed: 1, initialConfiguration });
    core.reduce({ kind: 'start' }, 0);
    const engines = createFakeEngines({ ids: ['e1'], checksOrderNumber: () => false, loadMs: 10 });
    const report = engines.report('e1', 0);
    if (report === undefined) throw new Error('no report');
    const cache = { cacheEvents: [], cacheNext: 0, cacheGap: false };
    core.reduce({ kind: 'upstreamReport', upstream: 'e1', report, ...cache }, 1);
    core.reduce({ kind: 'timer', timer: 'orders' }, 2);
    const empty = { kind: 'records', records: [], next: 0 } as const;
    core.reduce({ kind: 'logRead', stream: 'orders', from: 0, result: empty }, 3);
    const effects = core.reduce({ kind: 'timer', timer: 'orders' }, 4);
    const append = effects.find((effect) => effect.kind === 'appendLog');
    if (append === undefined) throw new Error('nothing was appended');
    const { appendId, stream, records } = append;
    const now = 5 + pauseMs;
    const appended = { kind: 'appended', offset: 0 } as const;
    core.reduce({ kind: 'appendSettled', appendId, stream, result: appended }, now);
    const read = [{ offset: 0, data: records[0] ?? '' }];
    const result = { kind: 'records', records: read, next: 1 } as const;
    const readEffects = core.reduce({ kind: 'logRead', stream, from: 0, result }, now + 1);
    return readEffects.filter((effect) => effect.kind === 'giveOrder').length;
  }

  it('sends a recent order and drops one that is too old', () => {
    expect(ordersSentAfter(10)).to.equal(1);
    expect(ordersSentAfter(60_000)).to.equal(0);
  });
});

describe('fold of the orders', () => {
  const orderArbitrary = fc.record({
    kind: fc.constant('order' as const),
    schemaVersion: fc.constant(1),
    id: fc.uuid(),
    upstream: fc.constantFrom('a', 'b', 'c', 'd'),
    pool: fc.constantFrom('p', 'q'),
    order: fc.constant({ kind: 'load-model' as const, model: 'm', version: '1' }),
    by: fc.constantFrom('x', 'y'),
    at: fc.constant(0),
    replaces: fc.integer({ min: -1, max: 8 }),
    poolLoads: fc.constant(1),
    fleetLoads: fc.constant(2),
  });

  it('keeps the load limits and one outstanding order per engine for any records', () => {
    fc.assert(
      fc.property(fc.array(orderArbitrary, { maxLength: 20 }), (records: OrderRecord[]) => {
        const fold = createOrdersFold();
        records.forEach((record, offset) => {
          const before = fold.outstanding.get(record.upstream)?.number ?? -1;
          const folded = foldOrder(fold, { offset, data: JSON.stringify(record) });
          if (folded?.isValid === true) expect(record.replaces).to.equal(before);
          const outstanding = [...fold.outstanding.values()];
          expect(outstanding.length).to.be.at.most(2);
          expect(new Set(outstanding.map(({ pool }) => pool)).size).to.equal(outstanding.length);
        });
      }),
      { seed: 6 },
    );
  });

  it('ignores invalid data', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), (data) => {
        const fold = createOrdersFold();
        expect(foldOrder(fold, { offset: 0, data })).to.equal(undefined);
        expect(fold.next).to.equal(1);
      }),
      { seed: 6 },
    );
  });
});
