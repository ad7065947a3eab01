/** Memory of the core's state over customers, upstreams, members and requests. Needs `--expose-gc`. */
import { createCore, type Core } from '../../core/core.js';
import { createCallerRequest } from '../support/callerRequest.js';
import { createFleetView, type FleetViewOptions } from '../support/fleetView.js';
import { heapBytes } from '../support/timing.js';
import { fitLine, type Line, type Point } from './fit.js';

export interface StateSlope {
  /** What is counted, in the plural. */
  readonly per: string;
  /** Bytes of heap. */
  readonly line: Line;
}

const SELF = { id: 'i0', incarnation: 1, address: '127.0.0.1:1', domain: 'd0', region: 'r0' };
const SMALL: FleetViewOptions = { customers: 10, upstreams: 10, pools: 8, domains: 14, regions: 4 };

export function measureStateSlopes(): readonly StateSlope[] {
  return [
    slope('customers configured', [1_000, 3_000, 9_000], (n) =>
      startCore({ ...SMALL, customers: n }),
    ),
    slope('upstreams configured', [1_000, 4_000, 12_000], (n) =>
      startCore({ ...SMALL, upstreams: n }),
    ),
    slope('customers with work', [100, 300, 900], (n) => {
      const core = startCore({ ...SMALL, customers: 900 });
      for (let i = 1; i <= n; i += 1) core.reduce(createCallerRequest(`q${i}`, i), 10);
      return core;
    }),
    slope('waiting requests', [1_000, 3_000, 9_000], (n) => {
      const core = startCore(SMALL);
      for (let i = 1; i <= n; i += 1) core.reduce(createCallerRequest(`q${i}`, 1 + (i % 10)), 10);
      return core;
    }),
  ];
}

function slope(per: string, sizes: readonly number[], create: (n: number) => Core): StateSlope {
  const points = sizes.map((n): Point => {
    const before = heapBytes();
    const core = create(n);
    const bytes = heapBytes() - before;
    // Kept alive until here, so that it counts.
    if (core.state.self.id !== SELF.id) throw new Error('another core');
    return [n, bytes];
  });
  return { per, line: fitLine(points) };
}

function startCore(options: FleetViewOptions): Core {
  const core = createCore({ self: SELF, seed: 1, initialConfiguration: createFleetView(options) });
  core.reduce({ kind: 'start' }, 0);
  return core;
}
