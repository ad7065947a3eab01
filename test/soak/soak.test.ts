import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { findBroken, type CheckOptions, type SeenRequest, type SoakRecord } from './checks.js';
import { planFaults } from './plan.js';
import { CHECKS, runSoak } from './run.js';

/** Bounds in time are for runs by hand: a machine of CI may be busy. */
const WITHOUT_TIMES: CheckOptions = { ...CHECKS, revokeMs: Infinity, servedPart: 0 };
const SEED = 3;

const SEEN: SeenRequest = {
  id: 'r1',
  kind: 'book',
  key: 'k',
  instance: 0,
  sentAt: 1_000,
  endedAt: 1_100,
  status: 200,
  text: 'answer to r1',
  signature: 'signed-r1',
};

const runOf = (requestId: string) => ({
  requestId,
  method: 'POST',
  path: '/book/1',
  body: '',
  headers: {},
  isAbandoned: false,
});

const RECORD: SoakRecord = {
  requests: [SEEN],
  runs: [runOf('r1')],
  revokedAt: new Map(),
  ownEnds: [],
  recoveredAt: 0,
};

const withSeen = (changes: Partial<SeenRequest>): SoakRecord => ({
  ...RECORD,
  requests: [{ ...SEEN, ...changes }],
});

describe('checks of the fault soak', () => {
  it('finds nothing in a sound record', () => {
    expect(findBroken(RECORD, CHECKS)).to.deep.equal([]);
  });

  const planted: readonly (readonly [string, SoakRecord])[] = [
    ['not its own', withSeen({ text: 'answer to r2' })],
    ['not its own', withSeen({ signature: 'signed-r2' })],
    ['not its own', withSeen({ kind: 'draft', text: 'id: 1\ndata: piece 1\n\n' })],
    ['ran 2 times', { ...RECORD, runs: [runOf('r1'), runOf('r1')] }],
    ['refused with 503 and has run', withSeen({ status: 503 })],
    ['its key was taken away', { ...RECORD, revokedAt: new Map([['k', -5_000]]) }],
    ['denied with 404', { ...withSeen({ status: 404 }), runs: [] }],
    ['ended by itself', { ...RECORD, ownEnds: ['instance-1 ended by itself: 1'] }],
    ['0 of 1 requests', { ...withSeen({ status: 502 }), runs: [] }],
  ];
  planted.forEach(([sentence, record], i) => {
    it(`finds a planted fault: ${sentence} (${i + 1})`, () => {
      expect(findBroken(record, CHECKS).join('\n')).to.include(sentence);
    });
  });

  it('draws the same faults from the same seed', () => {
    const options = { seed: 5, durationMs: 60_000, instances: 4, engines: 6, everyMs: 500 };
    expect(planFaults(options)).to.deep.equal(planFaults(options));
    expect(new Set(planFaults(options).map(({ fault }) => fault.kind)).size).to.be.greaterThan(8);
    expect(planFaults({ ...options, seed: 6 })).not.to.deep.equal(planFaults(options));
  });
});

describe('fault soak', () => {
  it(`breaks no promise about single requests with seed ${SEED}`, async () => {
    const dir = await mkdtemp(join(tmpdir(), 'primroseswitch-soak-'));
    const program = join(dir, 'program.mjs');
    await promisify(execFile)(process.execPath, [join('scripts', 'bundle.mjs'), program]);
    const { record, faults } = await runSoak({
      seed: SEED,
      durationMs: 12_000,
      recoveryMs: 6_000,
      instances: 3,
      engines: 6,
      requestsPerS: 40,
      faultsEveryMs: 800,
      program,
      dir,
    });
    await rm(dir, { recursive: true });
    expect(faults.length).to.be.greaterThan(5);
    expect(findBroken(record, WITHOUT_TIMES)).to.deep.equal([]);
    const served = record.requests.find(({ status, kind }) => status === 200 && kind === 'book');
    if (served === undefined) throw new Error('nothing was served');
    const doubled = { ...record, runs: [...record.runs, runOf(served.id)] };
    expect(findBroken(doubled, WITHOUT_TIMES).join()).to.include(
      `${served.id} (book): ran 2 times`,
    );
  });
});
