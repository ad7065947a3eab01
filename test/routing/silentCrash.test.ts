import { expect } from 'chai';
import {
  createTestCore,
  createUpstreamEntry,
  effectsOf,
  planOf,
  type TestCore,
} from './support/core.js';

/** A request of a route whose requests may not be repeated. */
const DEADLY = { path: '/draft/1', fingerprint: 7 };
const CHECK_MS = 100;
/** Time after which the list drops an upstream that has stopped writing its entry. */
const EXPIRED_MS = 3_600;

function wait(core: TestCore, ms: number): void {
  for (let passed = 0; passed < ms; passed += CHECK_MS) {
    core.advance(CHECK_MS);
    core.configure();
    core.dispatch({ kind: 'timer', timer: 'health' });
  }
}

function drop(core: TestCore, id: string) {
  return core.dispatch({
    kind: 'upstreamsPolled',
    askedAt: core.now(),
    isWhole: false,
    outcome: { kind: 'answered', cursor: core.now(), changes: [{ kind: 'removed', id }] },
  });
}

/** Sends the request to an upstream that says nothing from then on; returns the upstream. */
function sendToSilent(core: TestCore): string {
  const { upstream } = planOf(core.arrive(DEADLY));
  wait(core, EXPIRED_MS);
  return upstream;
}

const crashes = (effects: Parameters<typeof effectsOf>[0]) =>
  effectsOf(effects, 'log').filter(({ code }) => code === 'upstreamCrashed');

describe('a request that crashes upstreams without a sign', () => {
  // An upstream that crashed kept its connections open, so that no crash was ever counted.
  it('is refused once three of them have left the list', () => {
    const core = createTestCore();
    core.list(createUpstreamEntry('i-8'), createUpstreamEntry('i-9'));
    for (let i = 0; i < 3; i += 1) {
      const silent = sendToSilent(core);
      expect(crashes(drop(core, silent))).to.have.lengthOf(1);
    }
    const [refused] = effectsOf(core.arrive(DEADLY), 'answer');
    expect(refused?.answer).to.include({ status: 503, reason: 'crashesUpstreams' });
  });

  it('is suspected although the upstream still takes connections', () => {
    const core = createTestCore();
    const upstream = sendToSilent(core);
    core.dispatch({ kind: 'probed', upstream, upstreamStartedAt: 1, isAlive: true });
    expect(crashes(drop(core, upstream))).to.have.lengthOf(1);
  });

  it('is not suspected if the upstream was silent for a while only', () => {
    const core = createTestCore();
    const { upstream, attempt } = planOf(core.arrive(DEADLY));
    wait(core, EXPIRED_MS);
    core.dispatch({ kind: 'attemptProgress', attempt });
    expect(crashes(drop(core, upstream))).to.have.lengthOf(0);
  });

  it('is not suspected if the upstream was told to leave', () => {
    const core = createTestCore();
    const { upstream } = planOf(core.arrive(DEADLY));
    core.list(createUpstreamEntry(upstream, { phase: 'draining', beat: 2 }));
    wait(core, EXPIRED_MS);
    expect(crashes(drop(core, upstream))).to.have.lengthOf(0);
  });

  it('is not suspected if it was answered elsewhere in the meantime', () => {
    const core = createTestCore();
    const first = sendToSilent(core);
    const { attempt } = planOf(core.arrive(DEADLY));
    core.dispatch({ kind: 'attemptAnswered', attempt, status: 200 });
    core.dispatch({ kind: 'attemptEnded', attempt, outcome: { kind: 'complete', status: 200 } });
    drop(core, first);
    expect(core.routing.state.suspects.suspects.size).to.equal(0);
  });
});
