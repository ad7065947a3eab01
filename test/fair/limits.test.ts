import { expect } from 'chai';
import type { CustomerLimits } from '../../src/core/types.js';
import { createTestView } from '../support/configuration.js';
import { createFakeNetwork, type FakeNetwork } from '../../src/bench/support/fakeNetwork.js';

const INSTANCES = ['a', 'b', 'c'].map((id, i) => ({ id, domain: `d${i % 2}`, region: 'r1' }));
const UNLIMITED: CustomerLimits = {
  waitingRequests: 1e6,
  waitingBytes: 1e9,
  concurrency: 1e6,
  rate: 1e6,
};

function createLimitedNetwork(limits: Partial<CustomerLimits>, slots = 8): FakeNetwork {
  const view = createTestView({ upstreams: [{ id: 'e1', slots, domain: 'd0' }] });
  const customers = new Map(view.customers);
  const customer = customers.get(1);
  if (customer !== undefined)
    customers.set(1, { ...customer, limits: { ...UNLIMITED, ...limits } });
  const network = createFakeNetwork({
    seed: 1,
    view: { ...view, customers },
    instances: INSTANCES,
  });
  network.runUntil(5_000);
  return network;
}

/** Submits at a rate to each of the given instances; returns the number of admitted requests. */
function submitFor(network: FakeNetwork, ids: readonly string[], perSecond: number, ms: number) {
  const before = network.jobs.size;
  const end = network.now() + ms;
  while (network.now() < end) {
    ids.forEach((instance) => network.submit({ instance, customer: 1, tokens: 20 }));
    network.runUntil(network.now() + 1_000 / perSecond);
  }
  const jobs = [...network.jobs.values()].slice(before);
  return jobs.filter((job) => job.outcome !== 'refused').length;
}

describe('fair/limits', () => {
  it('refuses requests over the waiting limit at once, as not run and with a retry delay', () => {
    const network = createLimitedNetwork({ waitingRequests: 5 }, 1);
    const jobs = Array.from({ length: 10 }, () =>
      network.submit({ instance: 'a', customer: 1, tokens: 1_000 }),
    );
    expect(jobs.filter((job) => job.outcome === 'refused')).to.have.length(5);
    const effects = network.nodes.get('a')?.core.reduce(
      {
        kind: 'callerRequest',
        requestId: 'late',
        keyHash: 'hash-1',
        pool: 'chat',
        method: 'POST',
        path: '/',
        fingerprint: 'late',
        bodyBytes: 1,
        promptTokens: 0,
        prefixBlocks: [],
        streamed: true,
      },
      network.now(),
    );
    const [refusal] = effects ?? [];
    expect(refusal?.kind === 'refuse' && refusal.problem).to.include({
      code: 'waitingLimit',
      status: 429,
      executed: 'no',
      retryAfterMs: 1_000,
    });
  });

  it('refuses requests over the limit of waiting bytes', () => {
    const network = createLimitedNetwork({ waitingBytes: 350 }, 1);
    const jobs = Array.from({ length: 6 }, () =>
      network.submit({ instance: 'a', customer: 1, tokens: 1_000 }),
    );
    expect(jobs.filter((job) => job.outcome === 'refused')).to.have.length(3);
  });

  it('enforces the waiting limit across the fleet', () => {
    const limit = 60;
    const network = createLimitedNetwork({ waitingRequests: limit }, 1);
    submitFor(network, ['a', 'b', 'c'], 20, 6_000);
    const waiting = network.waiting.get(1)?.size ?? 0;
    expect(waiting).to.be.within(limit * 0.7, limit * 1.1);
  });

  it('enforces the rate limit across the fleet for requests to one or several instances', () => {
    const rate = 20;
    const seconds = 20;
    [['a'], ['a', 'b', 'c']].forEach((ids) => {
      const network = createLimitedNetwork({ rate }, 64);
      submitFor(network, ids, 40, 10_000);
      const admitted = submitFor(network, ids, 40, seconds * 1_000);
      expect(admitted, ids.join()).to.be.within(rate * seconds * 0.85, rate * seconds * 1.15);
    });
  });

  it('enforces the concurrency limit without refusing requests', () => {
    const network = createLimitedNetwork({ concurrency: 3 });
    for (let i = 0; i < 30; i += 1) {
      network.submit({ instance: INSTANCES[i % 3]?.id ?? '', customer: 1, tokens: 100 });
    }
    let maxRunning = 0;
    for (let i = 0; i < 100; i += 1) {
      network.runUntil(network.now() + 50);
      // Requests started before the first exchange of usage may exceed the limit.
      if (i > 30) maxRunning = Math.max(maxRunning, network.runningOn('e1'));
    }
    expect(maxRunning).to.be.within(1, 3);
    network.runUntil(network.now() + 30_000);
    network.jobs.forEach((job) => expect(job.outcome).to.equal('finished'));
  });
});
