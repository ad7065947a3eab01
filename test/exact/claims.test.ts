import { expect } from 'chai';
import { createExactFleet, type ExactFleet } from '../../src/bench/exact/fleet.js';

const BOOKING = { pool: 'desk', customer: 1, outputTokens: 0, key: 'k', content: 'b' } as const;

function readyFleet(options: Partial<Parameters<typeof createExactFleet>[0]> = {}): ExactFleet {
  const fleet = createExactFleet({ seed: 7, ...options });
  fleet.runFor(6_000);
  return fleet;
}

const outcomeOf = (fleet: ExactFleet, id: string) => fleet.model.outcomes.get(id)?.[0];

const problemOf = (fleet: ExactFleet, id: string) => {
  const outcome = outcomeOf(fleet, id);
  return outcome !== undefined && 'problem' in outcome ? outcome.problem : undefined;
};

const expectNoViolations = (fleet: ExactFleet) =>
  expect(fleet.model.findViolations(fleet.upstreams.executions)).to.deep.equal([]);

describe('claims', () => {
  it('let exactly one of ten instances run a key that is sent to all of them at once', () => {
    const fleet = readyFleet({ instances: 10 });
    const ids = fleet.ids.map((instance) => fleet.submit(instance, BOOKING));
    fleet.runFor(10_000);
    expect(fleet.upstreams.executions).to.have.length(1);
    expect(ids.filter((id) => outcomeOf(fleet, id)?.kind === 'answer')).to.have.length(1);
    expectNoViolations(fleet);
  });

  it('let exactly one instance run a key during a partition', () => {
    const fleet = readyFleet();
    fleet.peers.cutOff.add('i0');
    fleet.runFor(8_000);
    fleet.ids.forEach((instance) => fleet.submit(instance, BOOKING));
    fleet.runFor(10_000);
    expect(fleet.upstreams.executions).to.have.length(1);
    expectNoViolations(fleet);
  });

  it('replay the recorded answer, even from an instance that has started since', () => {
    const fleet = readyFleet();
    fleet.submit('i0', BOOKING);
    fleet.runFor(1_000);
    fleet.kill('i1');
    fleet.start('i1');
    fleet.runFor(6_000);
    fleet.kill('i0');
    const id = fleet.submit('i1', BOOKING);
    fleet.runFor(1_000);
    expect(outcomeOf(fleet, id)).to.deep.equal({ kind: 'replay', body: 'answer of k' });
    expectNoViolations(fleet);
  });

  it('refuse a different request with the same key with status 422, as not run', () => {
    const fleet = readyFleet();
    fleet.submit('i0', BOOKING);
    fleet.runFor(1_000);
    const id = fleet.submit('i1', { ...BOOKING, content: 'other' });
    fleet.runFor(1_000);
    expect(problemOf(fleet, id)).to.include({ code: 'keyReused', status: 422, executed: 'no' });
  });

  it('report an unknown outcome after the claimant crashed before or after its dispatch', () => {
    [5, 60].forEach((caseId) => {
      const fleet = readyFleet({ logDelayMs: 40, tokenMs: 200 });
      fleet.submit('i0', BOOKING);
      // The claimant crashes after 30 ms, before its dispatch, or after 120 ms, after its dispatch.
      fleet.runFor(caseId === 5 ? 30 : 120);
      fleet.kill('i0');
      fleet.runFor(6_000);
      const id = fleet.submit('i1', BOOKING);
      fleet.runFor(2_000);
      expect(problemOf(fleet, id)).to.include({ code: 'keyInUse', executed: 'unknown' });
      expectNoViolations(fleet);
    });
  });

  it('refuse only requests with a key while the log is down, and accept the key afterwards', () => {
    const fleet = readyFleet();
    fleet.log.faults.isDown = true;
    const keyed = fleet.submit('i0', BOOKING);
    fleet.runFor(6_000);
    const later = fleet.submit('i0', { ...BOOKING, key: 'k2' });
    const other = fleet.submit('i0', { pool: 'desk', customer: 1, outputTokens: 0 });
    fleet.runFor(1_000);
    // Without the log, it is unknown whether an earlier request with the same key has run.
    expect(problemOf(fleet, keyed)).to.include({ code: 'logUnavailable', executed: 'unknown' });
    expect(problemOf(fleet, later)).to.include({ code: 'logUnavailable', executed: 'unknown' });
    expect(outcomeOf(fleet, other)?.kind).to.equal('answer');
    fleet.log.faults.isDown = false;
    fleet.runFor(3_000);
    const again = fleet.submit('i1', BOOKING);
    fleet.runFor(3_000);
    expect(outcomeOf(fleet, again)?.kind).to.equal('answer');
    expectNoViolations(fleet);
  });

  it('never report a request as not run if an earlier one with the same key ran', () => {
    const fleet = readyFleet();
    fleet.kill('i1');
    const first = fleet.submit('i0', BOOKING);
    fleet.runFor(1_000);
    expect(outcomeOf(fleet, first)?.kind).to.equal('answer');
    fleet.log.faults.isDown = true;
    fleet.start('i1');
    fleet.runFor(1_000);
    const repeat = fleet.submit('i1', BOOKING);
    fleet.runFor(10_000);
    expect(problemOf(fleet, repeat)?.executed).to.equal('unknown');
    expect(fleet.upstreams.executions).to.have.length(1);
    expectNoViolations(fleet);
  });

  it('release a key whose claim was abandoned while its append was in flight', () => {
    const fleet = readyFleet({ logDelayMs: 12_000 });
    fleet.runFor(60_000);
    const late = fleet.submit('i0', BOOKING);
    fleet.runFor(5_200);
    expect(problemOf(fleet, late)).to.include({ code: 'claimNotSettled', executed: 'unknown' });
    fleet.log.faults.delayMs = 20;
    fleet.runFor(60_000);
    const again = fleet.submit('i1', BOOKING);
    fleet.runFor(3_000);
    expect(outcomeOf(fleet, again)?.kind).to.equal('answer');
    expectNoViolations(fleet);
  });

  it('recover from lost replies of the log by reading', () => {
    const fleet = readyFleet();
    fleet.log.faults.lostReplies = 1;
    const id = fleet.submit('i0', BOOKING);
    fleet.runFor(1_000);
    expect(outcomeOf(fleet, id)?.kind).to.equal('answer');
    expectNoViolations(fleet);
  });

  it('prevent a claimant that was paused until its claim expired from dispatching', () => {
    const settings = { claimHoldMs: 4_000, claimMemoryMs: 10_000, defaultDeadlineMs: 1e6 };
    const fleet = readyFleet({ settings, slots: 1, upstreams: 2, tokenMs: 2_000 });
    fleet.submit('i1', { ...BOOKING, key: 'other', content: 'other' });
    fleet.runFor(300);
    const id = fleet.submit('i0', BOOKING);
    fleet.runFor(200);
    fleet.pause('i0', 14_000);
    fleet.runFor(13_000);
    fleet.submit('i1', BOOKING);
    fleet.runFor(20_000);
    expect(problemOf(fleet, id)?.executed).to.equal('no');
    expect(fleet.upstreams.executions).to.have.length(2);
    expectNoViolations(fleet);
  });

  it('are abandoned while pending if records expire before they are read', () => {
    const fleet = readyFleet({ logDelayMs: 400 });
    const id = fleet.submit('i0', BOOKING);
    const core = fleet.coreOf('i0');
    const now = fleet.schedule.now();
    const next = core?.state.claims.next ?? 0;
    const gap = { kind: 'expired', oldest: next + 50 } as const;
    const effects = core?.reduce(
      { kind: 'logRead', stream: 'claims', from: next, result: gap },
      now,
    );
    expect(effects?.find(({ kind }) => kind === 'fail')).to.nested.include({
      requestId: id,
      'problem.executed': 'unknown',
    });
    fleet.runFor(10_000);
    expect(fleet.upstreams.executions).to.have.length(0);
  });

  it('are read from the latest checkpoint after a restart without state', () => {
    const settings = { claimMemoryMs: 2_000, claimCheckpointMs: 1_000, claimHoldMs: 1_000 };
    const fleet = readyFleet({ settings });
    for (let i = 0; i < 100; i += 1) {
      fleet.submit('i1', { ...BOOKING, key: `k${i}`, content: `k${i}` });
      fleet.runFor(200);
    }
    fleet.kill('i0');
    const before = fleet.log.counts.recordsRead;
    fleet.start('i0');
    fleet.runFor(150);
    // Claims and outcomes within the retention time plus one checkpoint interval, and all checkpoints.
    const recent = 2 * ((2_000 + 1_000) / 200 + 1);
    const checkpoints = 30;
    expect(fleet.log.counts.recordsAppended).to.be.at.least(200);
    expect(fleet.log.counts.recordsRead - before).to.be.at.most(recent + checkpoints);
    expect(fleet.coreOf('i0')?.state.claims.phase).to.equal('following');
  });

  it('are batched into few appends for many claims of many instances', () => {
    const fleet = readyFleet({ instances: 9, slots: 1_000 });
    const before = fleet.log.counts.appends;
    for (let i = 0; i < 200; i += 1) {
      fleet.ids.forEach((instance, n) => {
        fleet.submit(instance, { ...BOOKING, key: `${i}-${n}`, content: `${i}-${n}` });
      });
      fleet.runFor(5);
    }
    fleet.runFor(5_000);
    const seconds = (200 * 5) / 1_000 + 5;
    const { claimAppendsPerSecond } = fleet.coreOf('i0')?.state.settings ?? {};
    expect(fleet.log.counts.appends - before).to.be.at.most((claimAppendsPerSecond ?? 0) * seconds);
    expect(fleet.upstreams.executions).to.have.length(1_800);
    expectNoViolations(fleet);
  });
});
