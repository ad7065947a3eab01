/**
 * Measures how the memory of the core's state grows with customers, upstreams and requests. Needs
 * `--expose-gc`.
 */
import { createCore, type Core } from '../../core/core.js';
import { createCallerRequest } from '../support/callerRequest.js';
import { createFleetView, type FleetViewOptions } from '../support/fleetView.js';
import { heapBytes } from '../support/timing.js';
import { fitLine, type Line, type Point } from './fit.js';

export interface StateSlope {
  /** The items that the slope is per, as a plural noun. */
  readonly per: string;
  /** Heap bytes over the number of items. */
  readonly line: Line;
}

const SELF = { id: 'i0', incarnation: 1, address: '127.0.0.1:1', domain: 'd0', region: 'r0' };
const SMALL_VIEW: FleetViewOptions = {
  customers: 10,
  upstreams: 10,
  pools: 8,
  domains: 14,
  regions: 4,
};

export function measureStateSlopes(): readonly StateSlope[] {
  return [
    measureSlope('customers configured', [1_000, 3_000, 9_000], (n) =>
      startCore({ ...SMALL_VIEW, customers: n }),
    ),
    measureSlope('upstreams configured', [1_000, 4_000, 12_000], (n) =>
      startCore({ ...SMALL_VIEW, upstreams: n }),
    ),
    measureSlope('customers with work', [100, 300, 900], (n) => {
      const core = startCore({ ...SMALL_VIEW, customers: 900 });
      for (let i = 1; i <= n; i += 1) core.reduce(createCallerRequest(`q${i}`, i), 10);
      return core;
    }),
    measureSlope('waiting requests', [1_000, 3_000, 9_000], (n) => {
      const core = startCore(SMALL_VIEW);
      for (let i = 1; i <= n; i += 1) core.reduce(createCallerRequest(`q${i}`, 1 + (i % 10)), 10);
      return core;
    }),
  ];
}

function measureSlope(
  per: string,
  sizes: readonly number[],
  create: (n: number) => Core,
): StateSlope {
  const points = sizes.map((n): Point => {
    const before = heapBytes();
    const core = create(n);
    const bytes = heapBytes() - before;
    // Keeps the core reachable until its memory has been measured.
    if (core.state.self.id !== SELF.id)
      throw new Error('unexpected instance ID in the measured core');
    return [n, bytes];
  });
  return { per, line: fitLine(points) };
}

function startCore(options: FleetViewOptions): Core {
  const core = createCore({ self: SELF, seed: 1, initialConfiguration: createFleetView(options) });
  core.reduce({ kind: 'start' }, 0);
  return core;
}
