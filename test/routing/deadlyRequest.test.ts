import { expect } from 'chai';
import { lateArrivals, runWithDeadlyRequests } from './support/deadlyRequest.js';
import type { DeadlyRequestRun } from './support/deadlyRequest.js';

/** Time after the third crash from which at most three more attempts may reach upstreams. */
const CONTACT_MS = 4_000;
const MAX_LATE = 3;
const DAY_MS = 100_000;

describe('a request that crashes every upstream of its service, and comes again at any instance', () => {
  [1, 2, 3, 4, 5].forEach((seed) => {
    it(`reaches upstreams at most three times after the third crash (seed ${seed})`, () => {
      const run = runWithDeadlyRequests({ seed, upstreams: 3, requests: 1, untilMs: DAY_MS });
      expect(run.crashes).to.have.length.of.at.least(3);
      expect(lateArrivals(run, CONTACT_MS)).to.have.length.of.at.most(MAX_LATE);
    });

    it(`takes the whole service down once at most (seed ${seed})`, () => {
      const run = runWithDeadlyRequests({ seed, upstreams: 3, requests: 1, untilMs: DAY_MS });
      expect(run.lostAt).to.have.length.of.at.most(1);
    });
  });

  it('is no reason to refuse sound requests', () => {
    const run = runWithDeadlyRequests({ seed: 6, upstreams: 3, requests: 1, untilMs: DAY_MS });
    const refused = run.soundAnswers.filter(({ reason }) => reason === 'crashesUpstreams');
    expect(refused).to.have.lengthOf(0);
  });

  it('reaches upstreams at most three times after the third crash if it comes at one instance', () => {
    const run = runWithDeadlyRequests({
      seed: 7,
      upstreams: 3,
      requests: 1,
      untilMs: DAY_MS,
      isOneInstance: true,
    });
    expect(lateArrivals(run, CONTACT_MS)).to.have.length.of.at.most(MAX_LATE);
  });

  it('reaches upstreams at most three times after the third crash where there are a hundred', () => {
    const run = runWithDeadlyRequests({ seed: 8, upstreams: 100, requests: 1, untilMs: DAY_MS });
    expect(lateArrivals(run, CONTACT_MS)).to.have.length.of.at.most(MAX_LATE);
  });

  [3, 100].forEach((upstreams) => {
    it(`is told apart from nine others that do the same, at ${upstreams} upstreams`, () => {
      const run = runWithDeadlyRequests({ seed: 9, upstreams, requests: 10, untilMs: DAY_MS });
      const late = lateArrivals(run, CONTACT_MS);
      for (let request = 1; request <= 10; request += 1) {
        const ofRequest = late.filter(({ fingerprint }) => fingerprint === request);
        expect(ofRequest, `${request}`).to.have.length.of.at.most(MAX_LATE);
      }
    });
  });

  it('is served again once upstreams stand it', () => {
    const run = runWithDeadlyRequests({
      seed: 10,
      upstreams: 3,
      requests: 1,
      untilMs: DAY_MS,
      mendedAt: 10_000,
    });
    expect(run.served).to.have.length.of.at.least(1);
  });
});

describe('a request that comes again and again, and stands on upstreams that lose power', () => {
  const RETURNED_MS = 5_000;
  /** Time in which a fleet has to recover. */
  const RECOVERY_MS = 12_000;

  const servedFrom = ({ served }: DeadlyRequestRun, from: number) =>
    served.filter(({ at }) => at >= from).length;

  [1, 2, 3].forEach((seed) => {
    it(`is served again in the time to recover after all of them have (seed ${seed})`, () => {
      const lostAt = 20_000;
      const run = runWithDeadlyRequests({
        seed,
        upstreams: 3,
        requests: 1,
        untilMs: lostAt + RETURNED_MS + RECOVERY_MS + 10_000,
        mendedAt: 0,
        powerLostAt: [lostAt, lostAt + RETURNED_MS + 1_000],
      });
      const usual = servedFrom(run, 10_000) - servedFrom(run, 20_000);
      const from = lostAt + 2 * RETURNED_MS + 1_000 + RECOVERY_MS;
      expect(servedFrom(run, from)).to.be.at.least((usual / 10_000) * 3_000);
    });
  });
});
