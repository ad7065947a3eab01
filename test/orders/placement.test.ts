import { expect } from 'chai';
import fc from 'fast-check';
import type { PlacementConfig, UpstreamReport } from '../../src/core/types.js';
import {
  hasEffect,
  nextOrder,
  placementOf,
  maxPoolLoads,
} from '../../src/core/orders/placement.js';
import { createTestView } from '../support/configuration.js';

const PLACEMENT: PlacementConfig = {
  pool: 'chat',
  model: 'm',
  version: '2',
  adapters: ['a', 'b'],
  role: 'prefill',
  minUpstreams: 1,
  maxUpstreams: 100,
  servingShare: 0.75,
};

const REPORT: UpstreamReport = {
  running: 0,
  queued: 0,
  slots: 1,
  tokensPerSecond: 0,
  model: 'old',
  version: '1',
  role: '',
  adapters: [],
  orderNumber: -1,
  epoch: 'e',
};

function viewOf(size: number, maxUpstreams: number, stops: readonly string[] = []) {
  const upstreams = Array.from({ length: size }, (_, i) => ({ id: `e${i}` }));
  const plannedStops = new Map(stops.map((upstream) => [upstream, { upstream, reason: 'r' }]));
  const placement = { ...PLACEMENT, maxUpstreams };
  return { ...createTestView({ upstreams }), plannedStops, placement: [placement] };
}

describe('placement', () => {
  it('is reached by orders that each have an effect, after which none is needed', () => {
    let report = REPORT;
    const kinds: string[] = [];
    for (let order = nextOrder(PLACEMENT, report); order !== undefined;) {
      kinds.push(order.kind);
      expect(hasEffect(order, report)).to.equal(false);
      if (order.kind === 'load-model') report = { ...report, ...order };
      else if (order.kind === 'set-role') report = { ...report, role: order.role };
      else report = { ...report, adapters: [...report.adapters, order.adapter] };
      expect(hasEffect(order, report)).to.equal(true);
      order = nextOrder(PLACEMENT, report);
    }
    expect(kinds).to.deep.equal(['load-model', 'load-adapter', 'load-adapter', 'set-role']);
  });

  it('selects as many upstreams as allowed, none that will stop; a higher limit only adds', () => {
    const size = fc.integer({ min: 1, max: 30 });
    fc.assert(
      fc.property(size, size, fc.boolean(), (count, maxUpstreams, hasStop) => {
        const view = viewOf(count, maxUpstreams, hasStop ? ['e0'] : []);
        const chosen = [...view.upstreams.values()].filter((upstream) =>
          placementOf(view, upstream),
        );
        const available = count - (hasStop ? 1 : 0);
        expect(chosen.length).to.equal(Math.min(maxUpstreams, available));
        if (hasStop) expect(chosen.map(({ id }) => id)).to.not.include('e0');
        const larger = viewOf(count, maxUpstreams + 1, hasStop ? ['e0'] : []);
        chosen.forEach((upstream) => expect(placementOf(larger, upstream)).to.not.equal(undefined));
      }),
      { seed: 6 },
    );
  });

  it('limits concurrent loads so that the serving share keeps serving', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 2_000 }),
        fc.integer({ min: 0, max: 100 }),
        (size, percent) => {
          const view = viewOf(size, size);
          const loads = maxPoolLoads(view, {
            ...PLACEMENT,
            maxUpstreams: size,
            servingShare: percent / 100,
          });
          expect(loads).to.be.at.least(1);
          if (loads > 1) expect(size - loads).to.be.at.least((size * percent) / 100 - 1e-6);
        },
      ),
      { seed: 6 },
    );
  });
});
