import { expect } from 'chai';
import { createCore, type Core } from '../../src/core/core.js';
import { grantKey } from '../../src/core/dispatch/dispatchState.js';
import type { CacheEvent, Effect, PeerMessage, UpstreamReport } from '../../src/core/types.js';
import { createTestView, type TestViewOptions } from '../support/configuration.js';
import { createFakeNetwork } from '../../src/bench/support/fakeNetwork.js';

const SELF = { id: 'a', incarnation: 1, address: '127.0.0.1:1', domain: 'd1', region: 'r1' };

const REPORT: UpstreamReport = {
  running: 0,
  queued: 0,
  slots: 4,
  tokensPerSecond: 0,
  model: '',
  version: '',
  role: '',
  adapters: [],
  orderNumber: 0,
  epoch: '1',
};

function createOwner(options: TestViewOptions, settings = {}): Core {
  const initialConfiguration = createTestView(options);
  const core = createCore({ self: SELF, seed: 1, initialConfiguration, settings });
  core.reduce({ kind: 'start' }, 0);
  core.reduce({ kind: 'timer', timer: 'assign' }, 1);
  return core;
}

function report(
  core: Core,
  upstream: string,
  change: Partial<UpstreamReport> = {},
  cacheUpdate = {},
) {
  return core.reduce(
    {
      kind: 'upstreamReport',
      upstream,
      report: { ...REPORT, ...change },
      cacheEvents: [],
      cacheNext: 0,
      cacheGap: false,
      ...cacheUpdate,
    },
    5,
  );
}

function request(core: Core, requestId: string, blocks: readonly string[] = [], now = 10) {
  core.reduce(
    {
      kind: 'callerRequest',
      requestId,
      keyHash: 'hash-1',
      pool: 'chat',
      method: 'POST',
      path: '/',
      fingerprint: requestId,
      bodyBytes: 10,
      promptTokens: 100,
      prefixBlocks: blocks,
      streamed: true,
    },
    now,
  );
  return core.reduce({ kind: 'timer', timer: 'announce' }, now);
}

const upstreamOf = (effects: readonly Effect[]) =>
  effects.find((effect) => effect.kind === 'dispatch')?.attempt.upstream;

const stored = (...blocks: string[]): CacheEvent[] =>
  blocks.map((block, i) => ({ sequence: i + 1, kind: 'stored', block }));

describe('fair/dispatch: upstream selection', () => {
  const twoUpstreams = {
    upstreams: [
      { id: 'e1', slots: 4 },
      { id: 'e2', slots: 4 },
    ],
  };

  it('prefers the longest cached prefix and charges only the uncached part of the prompt', () => {
    const core = createOwner(twoUpstreams);
    report(core, 'e1');
    report(core, 'e2', {}, { cacheEvents: stored('p1', 'p2', 'p3'), cacheNext: 3 });
    expect(upstreamOf(request(core, 'q1', ['p1', 'p2', 'p3']))).to.equal('e2');
    expect(core.state.shares.accounts.get(1)?.own[1]).to.equal(0);
    request(core, 'q2', ['p1', 'x2', 'x3'], 20);
    expect(core.state.shares.accounts.get(1)?.own[1]).to.equal(67);
  });

  it('prefers the less loaded upstream if the load difference exceeds the margin', () => {
    const core = createOwner(twoUpstreams);
    report(core, 'e1');
    report(core, 'e2', {}, { cacheEvents: stored('p1') });
    ['q1', 'q2', 'q3'].forEach((id) => request(core, id, ['p1']));
    // Two of four slots of e2 exceed the margin of a quarter.
    const used = ['e1', 'e2'].map((id) => core.state.dispatch.slots.get(id)?.inUse);
    expect(used).to.deep.equal([1, 2]);
  });

  it('clears the cache estimate after a gap or a restart, and bounds its size', () => {
    const core = createOwner(twoUpstreams, { cacheBlocks: 8 });
    const blocks = () => core.state.dispatch.caches.get('e1')?.blocks.size;
    report(core, 'e1', {}, { cacheEvents: stored('a', 'b') });
    expect(blocks()).to.equal(2);
    report(core, 'e1', {}, { cacheEvents: stored('c'), cacheGap: true });
    expect(blocks()).to.equal(1);
    report(core, 'e1', { epoch: '2' });
    expect(blocks()).to.equal(0);
    const many = Array.from({ length: 50 }, (_, i) => `m${i}`);
    report(core, 'e1', { epoch: '2' }, { cacheEvents: stored(...many) });
    expect(blocks()).to.equal(8);
  });
});

describe('fair/dispatch: slots', () => {
  it('subtracts the requests of other owners from the free slots', () => {
    const core = createOwner({ upstreams: [{ id: 'e1', slots: 4 }] });
    report(core, 'e1', { running: 3 });
    const started = ['q1', 'q2', 'q3'].map((id) => upstreamOf(request(core, id)));
    expect(started).to.deep.equal(['e1', undefined, undefined]);
  });

  it('grants only half of the slots before the first report', () => {
    const core = createOwner({ upstreams: [{ id: 'e1', slots: 4 }] });
    const started = ['q1', 'q2', 'q3'].map((id) => upstreamOf(request(core, id)));
    expect(started).to.deep.equal(['e1', 'e1', undefined]);
  });

  it('decreases the limit while the upstream queues requests and increases it again', () => {
    const core = createOwner({ upstreams: [{ id: 'e1', slots: 8 }] });
    const limit = () => core.state.dispatch.slots.get('e1')?.limit ?? 0;
    report(core, 'e1', { slots: 8, running: 8, queued: 6 });
    expect(limit()).to.be.closeTo(6.4, 0.001);
    Array.from({ length: 8 }, (_, i) => request(core, `q${i}`));
    report(core, 'e1', { slots: 8, running: 0 });
    Array.from({ length: 8 }, (_, i) => request(core, `r${i}`));
    report(core, 'e1', { slots: 8, running: 7 });
    expect(limit()).to.be.above(7);
  });

  it('limits two concurrent owners of an upstream to one and a half times its slots', () => {
    const instances = ['a', 'b'].map((id) => ({ id, domain: 'd1', region: 'r1' }));
    const view = createTestView({ upstreams: [{ id: 'e1', slots: 8 }] });
    const network = createFakeNetwork({ seed: 1, view, instances });
    network.runUntil(6_000);
    let maxRunning = 0;
    const refill = () => {
      instances.forEach(({ id }) => network.submit({ instance: id, customer: 1, tokens: 50 }));
      maxRunning = Math.max(maxRunning, network.runningOn('e1'));
      network.at(network.now() + 20, refill);
    };
    refill();
    network.runUntil(10_000);
    network.partition((a, b) => a !== b && b !== 'e1');
    network.runUntil(25_000);
    const owners = ['a', 'b'].filter((id) =>
      network.nodes.get(id)?.core.state.ownership.owned.some((owned) => owned.id === 'e1'),
    );
    expect(owners).to.have.length(2);
    expect(maxRunning).to.be.at.most(12);
    network.heal();
    network.runUntil(40_000);
    expect(network.runningOn('e1')).to.be.at.most(9);
  });
});

describe('fair/dispatch: grants', () => {
  const grant = (upstream: string): PeerMessage => ({
    $case: 'grant',
    value: { grantId: 7, pool: 1, customer: 1, upstream, expiresInMs: 1_000, cachedPercent: 0 },
  });
  const deliver = (core: Core, from: string, message: PeerMessage, now = 50) =>
    core.reduce({ kind: 'peerMessage', from, incarnation: 1, message }, now);
  const upstreams = [
    { id: 'e1', domain: 'd2', region: 'r2' },
    { id: 'e2', domain: 'd2', region: 'r2' },
  ];
  // Owns no upstream, since two other instances are ready in the upstreams' domain.
  const createEntry = () => {
    const core = createOwner({ upstreams });
    ['b', 'c'].forEach((id, i) => {
      const member = {
        id,
        incarnation: 1,
        address: id,
        domain: 'd2',
        region: 'r2',
        phase: 1,
        beat: 1,
      };
      const value = { member, configurationVersion: 1, others: [] };
      deliver(core, id, { $case: 'heartbeat', value }, 2 + i);
    });
    return core;
  };

  it('uses a duplicate grant once and returns a grant that it cannot use', () => {
    const core = createEntry();
    request(core, 'q1');
    expect(upstreamOf(deliver(core, 'b', grant('e1')))).to.equal('e1');
    expect(deliver(core, 'b', grant('e1'))).to.deep.equal([]);
    const effects = deliver(core, 'c', grant('e2'));
    const returned = effects.some(
      (effect) => effect.kind === 'sendPeer' && effect.message.$case === 'grantReturn',
    );
    expect(returned).to.equal(true);
  });

  it('distinguishes grants of two owners with the same id', () => {
    const core = createEntry();
    request(core, 'q1');
    request(core, 'q2');
    deliver(core, 'b', grant('e1'));
    const [dispatch] = deliver(core, 'c', grant('e2')).filter(({ kind }) => kind === 'dispatch');
    const attemptId = dispatch?.kind === 'dispatch' ? dispatch.attempt.attemptId : '';
    const outcome = { kind: 'complete', status: 200, outputTokens: 1 } as const;
    core.reduce({ kind: 'attemptEnded', attemptId, outcome }, 60);
    const { heldGrants } = core.state.dispatch;
    expect(heldGrants.has(grantKey({ owner: 'b', grantId: 7 }))).to.equal(true);
    expect(heldGrants.has(grantKey({ owner: 'c', grantId: 7 }))).to.equal(false);
  });
});
