import { expect } from 'chai';
import { createExactFleet, type ExactFleet } from '../../src/bench/exact/fleet.js';

const CRASHING_REQUEST = {
  pool: 'chat',
  customer: 1,
  outputTokens: 50,
  isCrashing: true,
  content: 'crashing',
} as const;
const HARMLESS_REQUEST = { pool: 'chat', customer: 2, outputTokens: 50 } as const;

function readyFleet(settings = {}): ExactFleet {
  const fleet = createExactFleet({ seed: 5, upstreams: 12, settings });
  fleet.runFor(6_000);
  // Successful requests fill the retry budget.
  for (let i = 0; i < 400; i += 1) {
    fleet.submit(fleet.ids[i % 3] as string, { ...HARMLESS_REQUEST, outputTokens: 1 });
    fleet.runFor(10);
  }
  return fleet;
}

const codesOf = (fleet: ExactFleet, id: string) =>
  (fleet.model.outcomes.get(id) ?? []).map((item) => ('problem' in item ? item.problem.code : ''));

const expectNoViolations = (fleet: ExactFleet) =>
  expect(fleet.model.findViolations(fleet.upstreams.executions)).to.deep.equal([]);

describe('quarantine', () => {
  it('blocks a request after two crashes, regardless of the instance that receives it', () => {
    const fleet = readyFleet();
    for (let sent = 0; sent < 6; sent += 1) {
      fleet.submit(fleet.ids[sent % 3] as string, CRASHING_REQUEST);
      fleet.runFor(3_000);
    }
    expect(fleet.upstreams.crashes).to.have.length(2);
    const last = fleet.submit('i2', CRASHING_REQUEST);
    fleet.runFor(100);
    expect(codesOf(fleet, last)).to.deep.equal(['quarantined']);
    expectNoViolations(fleet);
  });

  it('limits concurrent copies of a crashing request to two more crashes', () => {
    const fleet = readyFleet();
    fleet.submit('i0', CRASHING_REQUEST);
    fleet.runFor(1_000);
    const before = fleet.upstreams.crashes.length;
    for (let copy = 0; copy < 12; copy += 1) {
      fleet.submit(fleet.ids[copy % 3] as string, CRASHING_REQUEST);
    }
    fleet.runFor(20_000);
    expect(fleet.upstreams.crashes.length - before).to.be.at.most(2);
    expectNoViolations(fleet);
  });

  it('does not quarantine harmless requests that ran on a crashed upstream', () => {
    const fleet = readyFleet();
    const harmless = Array.from({ length: 60 }, (_, i) =>
      fleet.submit(fleet.ids[i % 3] as string, { ...HARMLESS_REQUEST, content: `innocent${i}` }),
    );
    fleet.runFor(50);
    for (let sent = 0; sent < 4; sent += 1) {
      fleet.submit(fleet.ids[sent % 3] as string, CRASHING_REQUEST);
      fleet.runFor(2_500);
    }
    fleet.runFor(15_000);
    expect(fleet.upstreams.crashes).to.have.length(2);
    harmless.forEach((id) => expect(codesOf(fleet, id)).to.not.include('quarantined'));
    const again = fleet.submit('i1', { ...HARMLESS_REQUEST, content: 'innocent1' });
    fleet.runFor(15_000);
    expect(codesOf(fleet, again)).to.deep.equal(['']);
    expectNoViolations(fleet);
  });

  it('ends when it expires', () => {
    const fleet = readyFleet({ suspicionMs: 5_000, quarantineMs: 5_000 });
    fleet.submit('i0', CRASHING_REQUEST);
    fleet.runFor(3_000);
    expect(fleet.upstreams.crashes).to.have.length(2);
    fleet.runFor(8_000);
    const id = fleet.submit('i0', { ...CRASHING_REQUEST, isCrashing: false });
    fleet.runFor(5_000);
    expect(codesOf(fleet, id)).to.deep.equal(['']);
  });

  it('is lifted on all instances by an operator and does not return', () => {
    const fleet = readyFleet();
    fleet.submit('i0', CRASHING_REQUEST);
    fleet.runFor(3_000);
    const isKnown = () =>
      fleet.ids.map((id) => fleet.coreOf(id)?.state.quarantine.suspects.has('crashing'));
    expect(isKnown()).to.deep.equal([true, true, true]);
    fleet.operate('i2', { kind: 'liftQuarantine', fingerprint: 'crashing', keyHash: '' });
    fleet.runFor(20_000);
    expect(isKnown()).to.deep.equal([false, false, false]);
  });
});
