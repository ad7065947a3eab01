import { expect } from 'chai';
import type { RoutingEffect } from '../../src/routing/types.js';
import { createTestCore, createUpstreamEntry, effectsOf, type TestCore } from './support/core.js';

/** Longer than any read takes that ends, answered or not. */
const OVERDUE_MS = 12_000;

/** Runs the health check after a while. */
function checkAfter(core: TestCore, ms: number): readonly RoutingEffect[] {
  core.advance(ms);
  return core.dispatch({ kind: 'timer', timer: 'health' });
}

describe('a read of the platform that never ends', () => {
  let core: TestCore;

  beforeEach(() => {
    core = createTestCore();
    core.dispatch({ kind: 'start' });
  });

  it('is begun anew, for the list as for the configuration, and logged', () => {
    const effects = checkAfter(core, OVERDUE_MS);
    expect(effectsOf(effects, 'pollUpstreams')).to.have.lengthOf(1);
    expect(effectsOf(effects, 'pollConfiguration')).to.have.lengthOf(1);
    const overdue = effectsOf(effects, 'log').filter(({ code }) => code === 'readOverdue');
    expect(overdue.map(({ fields }) => fields.reads)).to.have.members([
      'configuration',
      'upstreams',
    ]);
  });

  it('is left to end while it is not overdue', () => {
    const effects = checkAfter(core, 1_000);
    expect(effectsOf(effects, 'pollUpstreams')).to.be.empty;
    expect(effectsOf(effects, 'pollConfiguration')).to.be.empty;
  });

  it('changes nothing if it ends all the same', () => {
    const askedAt = core.now();
    checkAfter(core, OVERDUE_MS);
    const changes = [{ kind: 'listed', upstream: createUpstreamEntry('i-9') }] as const;
    core.dispatch({
      kind: 'upstreamsPolled',
      askedAt,
      isWhole: false,
      outcome: { kind: 'answered', cursor: 9, changes },
    });
    expect(core.routing.state.upstreams.byId.has('i-9')).to.equal(false);
    core.list(createUpstreamEntry('i-9'));
    expect(core.routing.state.upstreams.byId.has('i-9')).to.equal(true);
  });
});
