import { expect } from 'chai';
import { createExactFleet, type ExactFleet } from '../../src/bench/exact/fleet.js';

const CHAT = { pool: 'chat', customer: 1, outputTokens: 5 } as const;

function readyFleet(seed = 3): ExactFleet {
  const fleet = createExactFleet({ seed, slots: 50 });
  fleet.runFor(6_000);
  return fleet;
}

const expectNoViolations = (fleet: ExactFleet) =>
  expect(fleet.model.findViolations(fleet.upstreams.executions)).to.deep.equal([]);

describe('retries', () => {
  it('stay below 1.1 attempts per request when every upstream fails', () => {
    const fleet = readyFleet();
    fleet.upstreams.faults.isFailing = true;
    const requests = 3_000;
    for (let i = 0; i < requests; i += 1) {
      fleet.submit(fleet.ids[i % 3] as string, CHAT);
      fleet.runFor(10);
    }
    fleet.runFor(20_000);
    expect(fleet.upstreams.counts.dispatches).to.be.below(1.1 * requests);
    expect(fleet.upstreams.counts.dispatches).to.be.above(requests);
    expectNoViolations(fleet);
  });

  it('go to an upstream that has not been tried', () => {
    const fleet = readyFleet();
    fleet.upstreams.faults.cut = 0.1;
    for (let i = 0; i < 500; i += 1) {
      fleet.submit(fleet.ids[i % 3] as string, CHAT);
      fleet.runFor(20);
    }
    fleet.runFor(20_000);
    const tried = new Map<string, string[]>();
    fleet.upstreams.executions
      .filter(({ isResume }) => !isResume)
      .forEach(({ requestId, upstream }) => {
        tried.set(requestId, [...(tried.get(requestId) ?? []), upstream]);
      });
    const repeated = [...tried.values()].filter((list) => list.length > 1);
    expect(repeated).to.have.length.above(0);
    repeated.forEach((list) => expect(new Set(list).size).to.equal(list.length));
    expectNoViolations(fleet);
  });

  it('use upstreams of other domains after those of the own domain have been tried', () => {
    const fleet = readyFleet();
    fleet.upstreams.faults.declined = 0.1;
    const ids: string[] = [];
    for (let i = 0; i < 400; i += 1) {
      ids.push(fleet.submit(fleet.ids[i % 3] as string, CHAT));
      fleet.runFor(50);
    }
    fleet.runFor(20_000);
    const codes = ids.map((id) => {
      const outcome = fleet.model.outcomes.get(id)?.[0];
      return outcome !== undefined && 'problem' in outcome ? outcome.problem.code : 'answered';
    });
    expect(codes).to.include('answered');
    expect(codes).to.not.include('deadlinePassed');
    expectNoViolations(fleet);
  });

  it('move the cache of an interrupted stream if its engine is about to stop', () => {
    const fleet = readyFleet();
    for (let i = 0; i < 100; i += 1) fleet.submit('i0', { ...CHAT, outputTokens: 500 });
    fleet.runFor(400);
    fleet.setLeaving('engine0', true);
    fleet.runFor(5_500);
    // Cuts the remaining streams; the retry budget allows some of them to move.
    const cutStreams = fleet.upstreams.cutAll('engine0');
    fleet.runFor(10_000);
    expect(cutStreams).to.be.above(0);
    expect(fleet.upstreams.counts.moves).to.be.above(0);
    expectNoViolations(fleet);
  });
});

describe('planned stops of instances', () => {
  it('do not lose, duplicate or interrupt requests in a rolling replacement under load', () => {
    const fleet = readyFleet(11);
    const submitted: string[] = [];
    fleet.ids.forEach((stopping) => {
      fleet.stop(stopping);
      const others = fleet.ids.filter((id) => id !== stopping);
      for (let i = 0; i < 60; i += 1) {
        const to = others[i % 2] as string;
        submitted.push(fleet.submit(to, CHAT));
        const key = `${stopping}-${i}`;
        const spec = { pool: 'desk', customer: 2, outputTokens: 0, key, content: key } as const;
        submitted.push(fleet.submit(to, spec));
        fleet.runFor(100);
      }
      expect(fleet.stopped.has(stopping)).to.equal(true);
      fleet.start(stopping);
      fleet.runFor(4_000);
    });
    fleet.runFor(20_000);
    const kinds = submitted.map((id) => fleet.model.outcomes.get(id)?.[0]?.kind);
    expect(new Set(kinds)).to.deep.equal(new Set(['answer']));
    expectNoViolations(fleet);
  });
});
