import { expect } from 'chai';
import { createFakeEngines } from '../../src/bench/configuration/fakeEngines.js';
import { createFakeFleet } from '../../src/bench/configuration/fakeFleet.js';
import { createCore } from '../../src/core/core.js';
import { rankOf } from '../../src/core/orders/placement.js';
import type { PlacementConfig, UpstreamId } from '../../src/core/types.js';
import { createTestView } from '../support/configuration.js';
import { BASE_DOCUMENT, PLATFORM_HASH } from '../support/edits.js';
import { createFakeNetwork, type FakeNetwork } from '../../src/bench/support/fakeNetwork.js';

const UPSTREAMS = 8;
const SLOTS = 2;
const MIN_UPSTREAMS = 2;
const MAX_UPSTREAMS = 6;
const TOKENS_PER_SECOND = 100;
const SETTINGS = { ordersTickMs: 500, placementGrowMs: 2_000, placementShrinkMs: 5_000 };
const IDLE_MS = 60_000;
const SAMPLE_MS = 500;

const ids = Array.from({ length: UPSTREAMS }, (_, i) => `e${i}`);

const PLACEMENT: PlacementConfig = {
  pool: 'chat',
  model: 'm',
  version: '1',
  adapters: [],
  minUpstreams: MIN_UPSTREAMS,
  maxUpstreams: MAX_UPSTREAMS,
  servingShare: 0.75,
};

const view = {
  ...createTestView({ upstreams: ids.map((id) => ({ id, slots: SLOTS })) }),
  placement: [PLACEMENT],
};

const rankIn = (id: UpstreamId) => rankOf(view, PLACEMENT, id) ?? Infinity;

/** Returns the upstreams of the pool that no instance considers unneeded. */
function needed(network: FakeNetwork): readonly UpstreamId[] {
  const unneeded = new Set<UpstreamId>();
  network.nodes.forEach(({ core }) => {
    core.state.orders.unneeded.forEach((id) => unneeded.add(id));
  });
  return ids.filter((id) => !unneeded.has(id));
}

function createPool(seed: number): FakeNetwork {
  return createFakeNetwork({
    seed,
    view,
    settings: SETTINGS,
    tokensPerSecond: TOKENS_PER_SECOND,
    instances: ['a', 'b', 'c'].map((id) => ({ id, domain: 'd1', region: 'r' })),
  });
}

/** Runs the network for `ms` and returns the number of needed upstreams at each sample. */
function sampleNeeded(
  network: FakeNetwork,
  ms: number,
  beforeSample: () => void = () => undefined,
) {
  const neededCounts: number[] = [];
  for (const until = network.now() + ms; network.now() < until;) {
    beforeSample();
    network.runUntil(network.now() + SAMPLE_MS);
    neededCounts.push(needed(network).length);
  }
  return neededCounts;
}

function submit(network: FakeNetwork, count: number, tokens: number) {
  const instances = [...network.nodes.keys()];
  return Array.from({ length: count }, (_, i) =>
    network.submit({ instance: instances[i % instances.length] as string, customer: 1, tokens }),
  );
}

/** Keeps twice as many requests waiting as all upstreams have slots. */
function overload(network: FakeNetwork): void {
  const missing = 2 * UPSTREAMS * SLOTS - (network.waiting.get(1)?.size ?? 0);
  submit(network, Math.max(0, missing), TOKENS_PER_SECOND);
}

const last = (numbers: readonly number[]) => numbers[numbers.length - 1];

describe('placement by demand', () => {
  it('shrinks to the minimum when idle, grows to the maximum in overload, stays in range', () => {
    const network = createPool(1);
    network.runUntil(SAMPLE_MS * 4);
    expect(needed(network)).to.have.length(MAX_UPSTREAMS);
    const idle = sampleNeeded(network, IDLE_MS);
    expect(last(idle)).to.equal(MIN_UPSTREAMS);
    const neededWhenIdle = needed(network);
    const overloaded = sampleNeeded(network, 30_000, () => overload(network));
    expect(last(overloaded)).to.equal(MAX_UPSTREAMS);
    expect(needed(network)).to.include.members([...neededWhenIdle]);
    const after = sampleNeeded(network, 2 * IDLE_MS);
    expect(last(after)).to.equal(MIN_UPSTREAMS);
    [...idle, ...overloaded, ...after].forEach((size) => {
      expect(size).to.be.within(MIN_UPSTREAMS, MAX_UPSTREAMS);
    });
  });

  it('converges under steady load', () => {
    const network = createPool(2);
    sampleNeeded(network, IDLE_MS);
    // Each sample period adds enough work to occupy five slots.
    const load = () => submit(network, 5, (TOKENS_PER_SECOND * SAMPLE_MS) / 1_000);
    sampleNeeded(network, 2 * IDLE_MS, load);
    const steady = sampleNeeded(network, 2 * IDLE_MS, load);
    expect(new Set(steady).size).to.equal(1);
    expect(steady[0]).to.be.at.least(Math.ceil(5 / SLOTS));
  });

  it('lets running requests finish on an upstream that is no longer needed', () => {
    const network = createPool(3);
    network.runUntil(8_000);
    const seconds = 100;
    const jobs = submit(network, 2, seconds * TOKENS_PER_SECOND);
    network.runUntil(network.now() + IDLE_MS);
    expect(needed(network).length).to.be.below(MAX_UPSTREAMS);
    expect(jobs.map(({ outcome }) => outcome)).to.deep.equal([undefined, undefined]);
    network.runUntil(network.now() + IDLE_MS);
    jobs.forEach(({ outcome, submittedAt, endedAt }) => {
      expect(outcome).to.equal('finished');
      expect((endedAt ?? 0) - submittedAt).to.be.below((seconds + 10) * 1_000);
    });
  });

  it('sends no new requests to an unneeded upstream that holds another model', () => {
    // The upstreams of the fake network report no model, so they count as holding another one.
    const network = createPool(4);
    sampleNeeded(network, IDLE_MS);
    const jobs = submit(network, MAX_UPSTREAMS * SLOTS, 10 * TOKENS_PER_SECOND);
    network.runUntil(network.now() + 1_000);
    const busy = ids.filter((id) => network.runningOn(id) > 0);
    expect(busy).to.have.members([...needed(network)]);
    network.runUntil(network.now() + IDLE_MS);
    jobs.forEach(({ outcome }) => expect(outcome).to.equal('finished'));
  });

  it('loads a new version only on needed upstreams, which already held the model', () => {
    const engines = createFakeEngines({ ids, checksOrderNumber: () => true, loadMs: 1_000 });
    const settings = { ...SETTINGS, placementShrinkMs: 10_000 };
    const fleet = createFakeFleet({ instances: 3, domains: 1, seed: 5, settings, engines });
    const publish = (version: number) => {
      const [instance] = fleet.instances;
      if (instance === undefined) throw new Error('no instance');
      const upstreams = ids.map(
        (id, i) =>
          `  ${id}: { pool: chat, url: 'http://127.0.0.1:${i + 1}', domain: d0, region: r }`,
      );
      const base = BASE_DOCUMENT.replace(
        /upstreams:\n.*\n/,
        `upstreams:\n${upstreams.join('\n')}\n`,
      );
      const bounds = `minUpstreams: ${MIN_UPSTREAMS}, maxUpstreams: ${MAX_UPSTREAMS}`;
      const text = `${base}placement:\n  chat: { model: m, version: '${version}', ${bounds}, servingShare: 0 }\n`;
      const edit = { editId: `v${version}`, section: 'document', baseVersion: version - 2, text };
      const command = { kind: 'publish', ...edit, author: 'op', keyHash: PLATFORM_HASH } as const;
      fleet.command(instance, command, () => undefined);
    };
    const holding = (version: string) =>
      ids.filter((id) => engines.engines.get(id)?.version === version);
    fleet.run(1_500);
    publish(1);
    fleet.run(2 * IDLE_MS);
    const held = holding('1');
    expect(held).to.have.length(MAX_UPSTREAMS);
    publish(2);
    fleet.run(IDLE_MS);
    expect(holding('2')).to.have.length(MIN_UPSTREAMS);
    expect(held).to.include.members(holding('2'));
  });

  it('prefers upstreams that hold the model to upstreams of a better rank', () => {
    const ranked = [...ids].sort((a, b) => rankIn(a) - rankIn(b));
    const holders = ranked.slice(MAX_UPSTREAMS - MIN_UPSTREAMS, MAX_UPSTREAMS);
    const self = { id: 'a', incarnation: 1, address: 'a:1', domain: 'd1', region: 'r1' };
    const core = createCore({ self, seed: 1, settings: SETTINGS, initialConfiguration: view });
    core.reduce({ kind: 'start' }, 0);
    const load = { running: 0, queued: 0, slots: SLOTS, tokensPerSecond: 0, epoch: 'e' };
    const engineState = { version: '1', adapters: [], role: '', orderNumber: -1 };
    const cache = { cacheEvents: [], cacheNext: 0, cacheGap: false };
    for (let now = 1; now < IDLE_MS; now += SAMPLE_MS) {
      ids.forEach((upstream) => {
        const model = holders.includes(upstream) ? 'm' : 'other';
        const report = { ...load, ...engineState, model };
        core.reduce({ kind: 'upstreamReport', upstream, report, ...cache }, now);
      });
      core.reduce({ kind: 'timer', timer: 'orders' }, now);
    }
    const { unneeded } = core.state.orders;
    expect(ids.filter((id) => !unneeded.has(id))).to.have.members(holders);
  });
});
