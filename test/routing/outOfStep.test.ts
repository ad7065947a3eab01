import { expect } from 'chai';
import { createTestCore, createUpstreamEntry, planOf, type TestCore } from './support/core.js';
import { runOutOfStep, type Trouble } from './support/outOfStep.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

describe('a stream that is taken up at an instance out of step while a new version joins', () => {
  const troubles: readonly { readonly trouble: Trouble; readonly forMs: number }[] = [
    { trouble: 'none', forMs: 3_000 },
    { trouble: 'cut', forMs: 6_000 },
    { trouble: 'cutFromStoreToo', forMs: 6_000 },
    { trouble: 'frozen', forMs: 1_500 },
    { trouble: 'frozen', forMs: 5_000 },
  ];
  troubles.forEach(({ trouble, forMs }) => {
    it(`goes on at the version that began it (${trouble} for ${forMs} ms)`, () => {
      const runs = SEEDS.map((seed) => runOutOfStep({ seed, trouble, forMs }));
      expect(runs.reduce((sum, { begunAtSecond }) => sum + begunAtSecond, 0)).to.be.at.least(50);
      expect(runs.map(({ mixed }) => mixed)).to.deep.equal(SEEDS.map(() => 0));
    });
  });

  it('goes on while a single version serves', () => {
    const { before } = runOutOfStep({ seed: 1, trouble: 'cut', forMs: 6_000 });
    expect(before.sent).to.be.at.least(100);
    expect(before.refused).to.equal(0);
  });
});

describe('a software version that joins', () => {
  const CHAT = { path: '/chat/1', deadlineMs: 10_000 };
  const DRAIN_MS = 2_500;

  /** Lists a second version, once the first one has been known for a while. */
  function listSecondVersion(core: TestCore): void {
    core.advance(2 * DRAIN_MS);
    core.configure();
    ['i-11', 'i-12'].forEach((id) => core.list(createUpstreamEntry(id, { version: 'v2' })));
  }

  /** Begins streams and returns the upstreams at which they do. */
  function begin(core: TestCore): readonly string[] {
    return Array.from({ length: 40 }, () => planOf(core.arrive(CHAT)).upstream);
  }

  it('begins streams only once all instances in step have it in their lists', () => {
    const core = createTestCore({ drainMs: DRAIN_MS });
    listSecondVersion(core);
    expect(new Set(begin(core))).to.not.include.any.keys('i-11', 'i-12');
    core.advance(DRAIN_MS);
    core.configure();
    core.list();
    expect(new Set(begin(core))).to.include.any.keys('i-11', 'i-12');
  });

  it('begins streams at once if no other version is left', () => {
    const core = createTestCore({ drainMs: DRAIN_MS });
    listSecondVersion(core);
    core.list(
      ...['i-1', 'i-2'].map((id) => createUpstreamEntry(id, { phase: 'draining', beat: 2 })),
    );
    expect(new Set(begin(core))).to.include.any.keys('i-11', 'i-12');
  });

  it('takes other requests at once', () => {
    const core = createTestCore({ drainMs: DRAIN_MS });
    listSecondVersion(core);
    const upstreams = Array.from({ length: 40 }, () => planOf(core.arrive()).upstream);
    expect(new Set(upstreams)).to.include.any.keys('i-11', 'i-12');
  });
});
