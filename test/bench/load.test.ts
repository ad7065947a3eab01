import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import {
  formatLoadReport,
  formatLoadResult,
  hasOnlyValidOutcomes,
  parseFaultFile,
  parseLoadFile,
  runLoad,
  totalCounts,
  type FaultFile,
  type LoadFile,
  type LoadResult,
} from '../../src/bench/load/index.js';
import { createArrivals } from '../../src/bench/load/arrivals.js';
import { createCustomerMetrics } from '../../src/bench/load/customerMetrics.js';
import { createGapMeter } from '../../src/bench/load/fairness.js';
import { checkExecutions } from '../../src/bench/load/executionCheck.js';
import {
  createEngineStandin,
  createServiceStandin,
  parseStandinSettings,
  type EngineFault,
} from '../../src/standins/index.js';

function loadFile(extra: string): LoadFile {
  const parsed = parseLoadFile(`
seed: 5
durationMs: 300
sampleMs: 50
customers:
  - name: grower
    key: k1
    ratePerSecond: 100
    mix: [{ kind: completion, pool: assistant, promptWords: [3, 9], maxTokens: [2, 20] }]
  - name: depot
    key: k2
    weight: 2
    ratePerSecond: 50
    floods: [{ fromMs: 100, toMs: 200, ratePerSecond: 200 }]
    bursts: [{ atMs: 50, requests: 10 }]
    mix:
      - { kind: completion, pool: assistant, stream: false, share: 3 }
      - { kind: completion, pool: assistant, sharedWords: 32, hintError: 3 }
${extra}`);
  if (parsed.kind === 'rejected') throw new Error(JSON.stringify(parsed.issues));
  return parsed.value;
}

async function run(
  file: LoadFile,
  faults: FaultFile = { faults: [] },
  timeoutMs = 30_000,
): Promise<LoadResult> {
  const done = await runLoad({ file, faults, timeoutMs });
  if (done.kind === 'rejected') throw new Error(done.unknownTargets.join());
  return done.result;
}

describe('load file', () => {
  it('reports the line of an unknown key', () => {
    const parsed = parseLoadFile('durationMs: 10\ncustomers:\n  - name: a\n    kye: b\n');
    expect(parsed.kind).to.equal('rejected');
    const issues = parsed.kind === 'rejected' ? parsed.issues : [];
    expect(issues.map(({ line }) => line)).to.include(3);
    expect(issues.some(({ message }) => message.includes('kye'))).to.equal(true);
  });

  it('rejects duplicate names', () => {
    const parsed = parseLoadFile(`
durationMs: 10
customers:
  - &c { name: a, key: b, mix: [{ kind: call, pool: p }] }
  - *c
`);
    expect(parsed.kind === 'rejected' && parsed.issues[0]?.path).to.equal('customers.1.name');
  });

  it('generates the same arrivals for the same seed, each with unique content', () => {
    const arrivals = createArrivals(loadFile(''));
    expect(createArrivals(loadFile(''))).to.deep.equal(arrivals);
    const questions = arrivals.map((arrival) => arrival.kind === 'completion' && arrival.question);
    expect(new Set(questions).size).to.equal(arrivals.length);
    const times = arrivals.map(({ atMs }) => atMs);
    expect(times).to.deep.equal(times.toSorted((a, b) => a - b));
    expect(times.every((at) => at >= 0 && at < 300)).to.equal(true);
  });
});

describe('load run', () => {
  async function runAgainstEngine(fault?: EngineFault, timeoutMs?: number): Promise<LoadResult> {
    const engine = await createEngineStandin({ tokenIntervalMs: 1, batchSize: 8 });
    const { url } = engine;
    const file = loadFile(`
instances: [{ name: direct, url: "${url}" }]
engines: [{ name: e1, pool: assistant, url: "${url}" }]
`);
    const faults = fault && { faults: [{ atMs: 0, standin: 'e1', fault }] };
    const result = await run(file, faults, timeoutMs);
    await engine.stop();
    return result;
  }

  it('serves and measures every request', async () => {
    const result = await runAgainstEngine();
    const total = totalCounts(result);
    expect(total.served).to.equal(total.sent);
    expect(total.sent).to.equal(createArrivals(loadFile('')).length);
    expect(hasOnlyValidOutcomes(result)).to.equal(true);
    expect(result.truth.unread).to.deep.equal([]);
    const [grower] = result.customers;
    expect(grower?.firstTokenMs.count).to.equal(grower?.counts.served);
    expect(result.utilisation.upstreams[0]?.utilisation).to.be.within(0, 1);
    const shares = result.customers.map(({ serviceShare }) => serviceShare);
    expect(shares.reduce((sum, share) => sum + share, 0)).to.be.closeTo(1, 1e-9);
  });

  it('detects answers that belong to other requests', async () => {
    const result = await runAgainstEngine({ kind: 'crossed', rate: 1 });
    expect(totalCounts(result).notOwn).to.be.above(0);
    expect(hasOnlyValidOutcomes(result)).to.equal(false);
  });

  it('detects truncated answers that end without an error', async () => {
    const result = await runAgainstEngine({ kind: 'cut', rate: 1, ending: 'close' });
    expect(totalCounts(result).truncated).to.be.above(0);
    expect(formatLoadResult(result)).to.include('NOT EVERY REQUEST HAD A VALID OUTCOME');
  });

  it('measures the fairness gap of an engine that serves in order of arrival', async () => {
    const engine = await createEngineStandin({ tokenIntervalMs: 4, batchSize: 1 });
    const customer = (name: string) =>
      `{ name: ${name}, key: k, bursts: [{ atMs: 0, requests: 20 }], mix: [*work] }`;
    const parsed = parseLoadFile(`
durationMs: 10
sampleMs: 20
waitingAfterMs: 0
instances: [{ name: direct, url: "${engine.url}" }]
customers:
  - { name: idle, key: k, mix: [&work { kind: completion, pool: assistant, maxTokens: [5, 5] }] }
  - ${customer('first')}
  - ${customer('second')}
`);
    if (parsed.kind === 'rejected') throw new Error(JSON.stringify(parsed.issues));
    const result = await run(parsed.value);
    await engine.stop();
    // All 20 requests of the first customer are served before any of the second.
    expect(result.fairness[0]?.maxGap).to.be.within(1, 20 * 5);
    expect(Math.max(...(result.fairness[0]?.samples.map(({ waiting }) => waiting) ?? []))).to.equal(
      2,
    );
  });

  it('counts requests that never end as lost', async () => {
    const result = await runAgainstEngine({ kind: 'hang' }, 500);
    expect(totalCounts(result).lost).to.be.above(0);
    expect(hasOnlyValidOutcomes(result)).to.equal(false);
  });

  it('counts broken connections as failed with unknown execution', async () => {
    const result = await runAgainstEngine({ kind: 'crash', restartAfterMs: 0 });
    const total = totalCounts(result);
    expect(total.sent).to.equal(total.served + total.failed);
    expect(result.faults).to.have.length(1);
    expect(hasOnlyValidOutcomes(result)).to.equal(true);
  });

  it('formats a report page without external resources', async () => {
    const page = formatLoadReport(await runAgainstEngine());
    expect(page).to.include('uPlot');
    expect(page).to.not.match(/(src|href)="/u);
  });

  it('rejects faults on unknown targets', async () => {
    const parsed = parseFaultFile('faults: [{ atMs: 1, process: i9, signal: SIGSTOP }]');
    if (parsed.kind === 'rejected') throw new Error(JSON.stringify(parsed.issues));
    const file = loadFile('instances: [{ name: i, url: "http://127.0.0.1:9" }]');
    expect(await runLoad({ file, faults: parsed.value })).to.deep.equal({
      kind: 'rejected',
      unknownTargets: ['i9'],
    });
  });
});

const REFUSED = { kind: 'refused', status: 503, step: 'wait' } as const;

describe('execution check', () => {
  it('detects calls that were executed twice, after a refusal, or not at all', async () => {
    const service = await createServiceStandin({ latencyMs: 0 });
    const parsed = parseLoadFile(`
durationMs: 100
services: [{ name: s, pool: booking, url: "${service.url}" }]
customers:
  - name: c
    key: k
    bursts: [{ atMs: 0, requests: 3 }]
    mix: [{ kind: call, pool: booking, idempotent: false }]
`);
    if (parsed.kind === 'rejected') throw new Error(JSON.stringify(parsed.issues));
    const [twice, refused, missing] = createArrivals(parsed.value);
    if (twice?.kind !== 'call' || refused?.kind !== 'call' || missing === undefined) {
      throw new Error('three calls are expected');
    }
    const post = async (body: string) => fetch(`${service.url}/x`, { method: 'POST', body });
    await Promise.all([post(twice.body), post(twice.body), post(refused.body)]);
    const truth = await checkExecutions(parsed.value, [
      { arrival: twice, outcome: { kind: 'served' }, endedAtMs: 1 },
      { arrival: refused, outcome: REFUSED, endedAtMs: 2 },
      { arrival: missing, outcome: { kind: 'served' }, endedAtMs: 3 },
    ]);
    await service.stop();
    expect(truth).to.deep.equal({
      doubled: [twice.id],
      falseRefusals: [refused.id],
      servedNotRun: [missing.id],
      unread: [],
    });
  });

  it('accepts a refusal if another request with the same key was served later', async () => {
    const service = await createServiceStandin({ latencyMs: 0 });
    const parsed = parseLoadFile(`
durationMs: 100
services: [{ name: s, pool: booking, url: "${service.url}" }]
customers:
  - name: c
    key: k
    bursts: [{ atMs: 0, requests: 1 }]
    mix: [{ kind: call, pool: booking, idempotent: false, repeatShare: 1 }]
`);
    if (parsed.kind === 'rejected') throw new Error(JSON.stringify(parsed.issues));
    const [first, again] = createArrivals(parsed.value);
    if (first?.kind !== 'call' || again?.kind !== 'call') throw new Error('two calls are expected');
    expect(again).to.include({ key: first.key, body: first.body });
    await fetch(`${service.url}/x`, { method: 'POST', body: first.body });
    const falseRefusalsIf = async (refusedAt: number, servedAt: number) => {
      const { falseRefusals } = await checkExecutions(parsed.value, [
        { arrival: first, outcome: REFUSED, endedAtMs: refusedAt },
        { arrival: again, outcome: { kind: 'served' }, endedAtMs: servedAt },
      ]);
      return falseRefusals;
    };
    expect(await falseRefusalsIf(1, 2)).to.deep.equal([]);
    expect(await falseRefusalsIf(2, 1)).to.deep.equal([first.key]);
    await service.stop();
  });
});

describe('gap meter', () => {
  it('measures only while both customers are continuously backlogged', () => {
    const metrics = createCustomerMetrics(loadFile(''));
    const meter = createGapMeter(metrics);
    const [a, b] = metrics;
    if (a === undefined || b === undefined) throw new Error('two customers are expected');
    const serve = (first: number, second: number) => {
      a.service += first;
      b.service += second;
      return meter.sample(0).gap;
    };
    a.waiting = 1;
    b.waiting = 1;
    expect(serve(100, 0)).to.equal(0);
    expect(serve(0, 0)).to.equal(0);
    expect(serve(10, 0)).to.equal(10);
    // The weight of the second customer is 2.
    expect(serve(0, 60)).to.equal(30);
    expect(serve(0, 0)).to.equal(30);
    b.wasIdle = true;
    expect(serve(500, 0)).to.equal(0);
    expect(meter.maxGap()).to.equal(30);
  });
});

describe('examples', () => {
  const folder = new URL('../../../examples/', import.meta.url);
  const read = async (name: string) => readFile(new URL(name, folder), 'utf8');

  it('match their schemas and refer to the same stand-ins', async () => {
    const load = parseLoadFile(await read('load.yaml'));
    const faults = parseFaultFile(await read('faults.yaml'));
    const standins = parseStandinSettings(await read('standins.yaml'));
    expect([load.kind, faults.kind]).to.deep.equal(['parsed', 'parsed']);
    const urls = load.kind === 'parsed' ? load.value.engines.map(({ url }) => url) : [];
    expect(urls).to.deep.equal(standins.engines.map(({ port }) => `http://127.0.0.1:${port}`));
  });
});
