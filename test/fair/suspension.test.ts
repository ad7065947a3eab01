import { expect } from 'chai';
import type { FakeNetwork, Job } from '../../src/bench/support/fakeNetwork.js';
import { createFakeNetwork } from '../../src/bench/support/fakeNetwork.js';
import { createTestView } from '../support/configuration.js';

const SLOTS = 8;
const LONG_TOKENS = 2_000;
const SHORT_TOKENS = 5;
const INSTANCES = ['a', 'b', 'c'].map((id) => ({ id, domain: 'd1', region: 'r1' }));

interface FloodResult {
  readonly network: FakeNetwork;
  readonly shortRequests: readonly Job[];
  readonly maxSuspended: number;
}

/**
 * Customer 1 fills all slots with long streams from one instance; customer 2 submits short
 * requests.
 */
function runFlood(suspendShare: number, idempotent = true): FloodResult {
  const view = createTestView({ upstreams: [{ id: 'e1', slots: SLOTS }], pool: { suspendShare } });
  const network = createFakeNetwork({ seed: 1, view, instances: INSTANCES });
  network.runUntil(5_000);
  for (let i = 0; i < 3 * SLOTS; i += 1) {
    network.submit({ instance: 'a', customer: 1, tokens: LONG_TOKENS, idempotent });
  }
  network.runUntil(9_000);
  const shortRequests: Job[] = [];
  let maxSuspended = 0;
  for (let i = 0; i < 10; i += 1) {
    shortRequests.push(network.submit({ instance: 'b', customer: 2, tokens: SHORT_TOKENS }));
    for (let step = 0; step < 100; step += 1) {
      network.runUntil(network.now() + 10);
      maxSuspended = Math.max(maxSuspended, network.suspendedOn('e1'));
    }
  }
  return { network, shortRequests, maxSuspended };
}

const waitOf = (job: Job) => (job.firstTokenAt ?? Infinity) - job.submittedAt;

describe('fair/suspension', () => {
  it('serves a short request within the expected delay while long streams hold all slots', () => {
    const { shortRequests, maxSuspended } = runFlood(0.25);
    // Delays of announcement, suspend request and reply, grant, dispatch and two upstream ticks.
    const maxWaitMs = 3 * 20 + 4 * 1 + 2 * 1 + 2 * 10;
    shortRequests.forEach((job) => expect(waitOf(job)).to.be.at.most(maxWaitMs));
    expect(maxSuspended).to.be.within(1, SLOTS * 0.25);
  });

  it('makes a short request wait for a stream to end if the pool permits no suspension', () => {
    const { shortRequests, maxSuspended } = runFlood(0);
    expect(waitOf(shortRequests[0] as Job)).to.be.above(1_000);
    expect(maxSuspended).to.equal(0);
  });

  it('does not suspend non-idempotent streams', () => {
    const { maxSuspended } = runFlood(0.25, false);
    expect(maxSuspended).to.equal(0);
  });

  it('resumes every suspended stream', () => {
    const { network } = runFlood(0.25);
    const streamMs = (LONG_TOKENS / 100) * 1_000;
    network.runUntil(network.now() + 5 * streamMs);
    network.jobs.forEach((job) => expect(job.outcome).to.equal('finished'));
  });

  it('resumes suspended streams after their owner has crashed', () => {
    const { network } = runFlood(0.25);
    network.submit({ instance: 'b', customer: 2, tokens: SHORT_TOKENS });
    network.runUntil(network.now() + 60);
    const owner = INSTANCES.find(({ id }) =>
      network.nodes.get(id)?.core.state.ownership.owned.some((owned) => owned.id === 'e1'),
    );
    if (owner?.id !== 'a') network.crash(owner?.id ?? '');
    const streamMs = (LONG_TOKENS / 100) * 1_000;
    network.runUntil(network.now() + 5 * streamMs);
    network.jobs.forEach((job) => {
      if (job.customer === 1 && job.instance === 'a') expect(job.outcome).to.equal('finished');
    });
  });
});
