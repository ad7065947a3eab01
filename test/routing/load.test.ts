import { expect } from 'chai';
import { createFairQueue } from '../../src/routing/load/fairQueue.js';
import { createTestCore, effectsOf, planOf, type TestCore } from './support/core.js';

const COUNTS = { accepted: 100, read: 80, dead: 20 };

function measure(core: TestCore, utilization: number) {
  return core.dispatch({
    kind: 'loadMeasured',
    reading: { utilization, lagMs: 400, counts: COUNTS },
  });
}

/** Delay until the next exchange. */
function exchangeDelay(core: TestCore): number {
  const effects = core.dispatch({ kind: 'timer', timer: 'exchange' });
  const timer = effectsOf(effects, 'setTimer').find((effect) => effect.timer === 'exchange');
  return (timer?.at ?? NaN) - core.now();
}

describe('load control', () => {
  it('refuses requests that waited too long for their decision, and deducts the wait from deadlines', () => {
    const core = createTestCore();
    // The objective of the route is 500 ms.
    const late = core.arrive({ waitedMs: 160 });
    const [refused] = effectsOf(late, 'answer');
    expect(refused?.answer).to.include({ status: 503, reason: 'instanceBusy' });
    expect(refused?.answer.retryAfterMs).to.be.within(50, 500);
    const inTime = core.arrive({ waitedMs: 100, deadlineMs: 2_000 });
    const [send] = effectsOf(inTime, 'send');
    expect(send?.plan.deadlineMs).to.equal(1_900);
  });

  it('counts what a busy instance turns away as demand of its customer', () => {
    const core = createTestCore();
    core.arrive({ waitedMs: 160 });
    const [rates] = [...core.routing.state.shares.customerRates.values()];
    expect(rates).to.include({ admitted: 0 });
    expect(rates?.asked).to.be.greaterThan(0);
  });

  it('queues by customer in turn and newest request first, and returns the oldest for refusal', () => {
    const queue = createFairQueue<string>();
    ['a1', 'a2', 'a3', 'b1', 'a4', 'c1', 'b2'].forEach((entry, at) =>
      queue.add(entry[0] ?? '', entry, at),
    );
    expect(queue.size()).to.equal(7);
    expect(queue.takeOldest(-1)).to.equal(undefined);
    expect(queue.takeOldest(3)).to.equal('a1');
    const taken = Array.from({ length: 4 }, queue.takeNewest);
    expect(taken).to.deep.equal(['a4', 'b2', 'c1', 'a3']);
    expect(queue.takeOldest(9)).to.equal('a2');
    expect(queue.takeOldest(9)).to.equal('b1');
    expect([queue.takeOldest(9), queue.takeNewest(), queue.size()]).to.deep.equal([
      undefined,
      undefined,
      0,
    ]);
  });

  it('sends new callers to other instances while saturated, and accepts them again afterwards', () => {
    const core = createTestCore();
    const ready = (utilization: number) => {
      const effects = measure(core, utilization);
      return [
        ...effectsOf(effects, 'setReady').map(({ isReady }) => isReady),
        ...effectsOf(effects, 'moveCallers').map(({ isMoving }) => !isMoving),
      ];
    };
    expect(ready(0.9)).to.deep.equal([]);
    expect(ready(1)).to.deep.equal([false, false]);
    // A utilization between the two thresholds must not end the saturated state.
    expect(ready(0.8)).to.deep.equal([]);
    expect(ready(0.6)).to.deep.equal([true, true]);
    expect(core.routing.state.isReady).to.equal(true);
  });

  it('does not mark an upstream as lost because the health check itself ran late', () => {
    const core = createTestCore();
    const checkHealth = () => core.dispatch({ kind: 'timer', timer: 'health' });
    const lost = (effects: ReturnType<typeof checkHealth>) =>
      effectsOf(effects, 'log').filter(({ code }) => code === 'upstreamLost');
    checkHealth();
    const { attempt } = planOf(core.arrive());
    core.advance(50);
    core.dispatch({ kind: 'attemptAnswered', attempt, status: 200 });
    core.dispatch({ kind: 'attemptProgress', attempt });
    core.advance(50);
    checkHealth();
    // The event loop blocks for 2 s; what the upstream sent in that time is read after the timer.
    core.advance(2_000);
    expect(lost(checkHealth())).to.deep.equal([]);
    core.dispatch({ kind: 'attemptProgress', attempt });
    for (let i = 0; i < 5; i += 1) {
      core.advance(100);
      expect(lost(checkHealth())).to.deep.equal([]);
    }
    // An upstream that is really silent is detected.
    let found = 0;
    for (let i = 0; i < 40; i += 1) {
      core.advance(100);
      found += lost(checkHealth()).length;
    }
    expect(found).to.equal(1);
  });

  it('sends messages to peers less often under load, but often enough for peers to rely on them', () => {
    const core = createTestCore();
    const usual = exchangeDelay(core);
    measure(core, 0.4);
    expect(exchangeDelay(core)).to.equal(usual);
    measure(core, 0.75);
    expect(exchangeDelay(core)).to.be.within(1.5 * usual, 2.5 * usual);
    measure(core, 1);
    expect(exchangeDelay(core)).to.equal(3 * usual);
    // Peers rely on the configuration reads of an instance only if they have heard from it within a
    // second.
    expect(exchangeDelay(core)).to.be.below(1_000);
    measure(core, 0.1);
    expect(exchangeDelay(core)).to.equal(usual);
  });

  it('logs the load of the last second, as a warning if the process is saturated', () => {
    const core = createTestCore();
    const [calm] = effectsOf(measure(core, 0.2), 'log');
    expect(calm).to.include({ level: 'info', code: 'loadMeasured' });
    const [busy] = effectsOf(measure(core, 0.99), 'log');
    expect(busy).to.include({ level: 'warn', code: 'loadMeasured' });
    expect(busy?.fields).to.include({ ...COUNTS, utilization: 0.99, lagMs: 400, open: 0 });
  });
});

/** Delay of a saturated process's turns, and the time that its idle upstreams take. */
const OWN_DELAY_MS = 400;
const UPSTREAM_MS = 30;
const CHECK_MS = 100;

/** Runs the periodic check `lateMs` after its time. */
function check(core: TestCore, lateMs: number): void {
  core.advance(CHECK_MS + lateMs);
  core.configure();
  core.dispatch({ kind: 'timer', timer: 'health' });
}

/** Serves a request whose upstream needs `UPSTREAM_MS`, and whose answer is read `lateMs` late. */
function serve(core: TestCore, lateMs: number): number | undefined {
  const effects = core.arrive();
  const [send] = effectsOf(effects, 'send');
  if (send === undefined) return undefined;
  const { attempt } = send.plan;
  core.advance(UPSTREAM_MS + lateMs);
  core.dispatch({ kind: 'attemptAnswered', attempt, status: 200 });
  core.dispatch({ kind: 'attemptProgress', attempt });
  core.dispatch({ kind: 'attemptEnded', attempt, outcome: { kind: 'complete', status: 200 } });
  const [sent] = effectsOf(effects, 'log').filter(({ code }) => code === 'sent');
  return Number(sent?.fields.expectedMs);
}

describe('delay of the own process', () => {
  it('is not learnt as slowness of upstreams, so that callers are served once it is over', () => {
    const core = createTestCore();
    for (let i = 0; i < 20; i += 1) {
      check(core, 0);
      serve(core, 0);
    }
    for (let i = 0; i < 40; i += 1) {
      check(core, OWN_DELAY_MS);
      serve(core, 2 * OWN_DELAY_MS);
    }
    for (let i = 0; i < 20; i += 1) check(core, 0);
    const expected = Array.from({ length: 10 }, () => serve(core, 0));
    expected.forEach((ms) => expect(ms).to.be.below(3 * UPSTREAM_MS));
  });

  it('counts against the objective while it lasts', () => {
    const core = createTestCore();
    for (let i = 0; i < 10; i += 1) check(core, 2 * OWN_DELAY_MS);
    const [refused] = effectsOf(core.arrive(), 'answer');
    expect(refused?.answer).to.include({ status: 503, reason: 'instanceBusy' });
    for (let i = 0; i < 20; i += 1) check(core, 0);
    expect(effectsOf(core.arrive(), 'send')).to.have.length(1);
  });

  it('withdraws no attempt whose answer may have arrived unread', () => {
    const core = createTestCore();
    for (let i = 0; i < 20; i += 1) {
      check(core, 0);
      serve(core, 0);
    }
    const plan = planOf(core.arrive({ path: '/look/1', promptTokens: 0, outputTokens: 0 }));
    expect(plan.mode).to.equal('idempotent');
    core.advance(OWN_DELAY_MS);
    const effects = Array.from({ length: 2 }, () => {
      core.advance(CHECK_MS + OWN_DELAY_MS);
      return core.dispatch({ kind: 'timer', timer: 'health' });
    }).flat();
    expect(effectsOf(effects, 'withdraw')).to.have.length(0);
  });
});
