import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { expect } from 'chai';
import {
  findViolations,
  type CheckOptions,
  type ObservedRequest,
  type SoakRecord,
} from './checks.js';
import { planFaults } from './plan.js';
import { DEFAULT_CHECKS, runSoak } from './run.js';

/** Time limits are enforced in manual runs only, since a CI machine may be busy. */
const UNTIMED_CHECKS: CheckOptions = {
  ...DEFAULT_CHECKS,
  revokeMs: Infinity,
  drainMs: Infinity,
  minServedRatio: 0,
};
const SEED = 3;

const REQUEST: ObservedRequest = {
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
  requests: [REQUEST],
  runs: [runOf('r1')],
  revokedAt: new Map(),
  lateArrivals: [],
  disturbances: [],
  unexpectedExits: [],
  peakMemoryMib: 100,
  recoveredAt: 0,
};

const withRequest = (changes: Partial<ObservedRequest>): SoakRecord => ({
  ...RECORD,
  requests: [{ ...REQUEST, ...changes }],
});

describe('soak test checks', () => {
  it('reports no violation for a valid record', () => {
    expect(findViolations(RECORD, DEFAULT_CHECKS)).to.deep.equal([]);
  });

  const injectedViolations: readonly (readonly [string, SoakRecord])[] = [
    ['differs from the expected', withRequest({ text: 'answer to r2' })],
    ['differs from the expected', withRequest({ signature: 'signed-r2' })],
    ['differs from the expected', withRequest({ kind: 'draft', text: 'id: 1\ndata: piece 1\n\n' })],
    ['executed 2 times', { ...RECORD, runs: [runOf('r1'), runOf('r1')] }],
    ['rejected with status 503 but executed', withRequest({ status: 503 })],
    ['its key was revoked', { ...RECORD, revokedAt: new Map([['k', -5_000]]) }],
    ['denied with status 404', { ...withRequest({ status: 404 }), runs: [] }],
    [
      'after it had said that it leaves',
      { ...RECORD, lateArrivals: [{ requestId: 'r1', at: 9_000, sinceMs: 4_000 }] },
    ],
    ['a process took 400 MiB', { ...RECORD, peakMemoryMib: 400 }],
    ['exited unexpectedly', { ...RECORD, unexpectedExits: ['instance-1 exited unexpectedly: 1'] }],
    ['0 of 1 requests', { ...withRequest({ status: 502 }), runs: [] }],
  ];
  injectedViolations.forEach(([message, record], i) => {
    it(`reports an injected violation: ${message} (${i + 1})`, () => {
      expect(findViolations(record, DEFAULT_CHECKS).join('\n')).to.include(message);
    });
  });

  it('generates the same faults for the same seed', () => {
    const options = { seed: 5, durationMs: 60_000, instances: 4, engines: 6, meanIntervalMs: 500 };
    expect(planFaults(options)).to.deep.equal(planFaults(options));
    expect(new Set(planFaults(options).map(({ fault }) => fault.kind)).size).to.be.greaterThan(8);
    expect(planFaults({ ...options, seed: 6 })).not.to.deep.equal(planFaults(options));
  });
});

describe('soak test', () => {
  it(`violates no per-request guarantee with seed ${SEED}`, async () => {
    const dir = await mkdtemp(join(tmpdir(), 'primroseswitch-soak-'));
    const program = join(dir, 'program.mjs');
    await promisify(execFile)(process.execPath, [join('scripts', 'bundle.mjs'), program]);
    const { record, faults } = await runSoak({
      seed: SEED,
      durationMs: 12_000,
      recoveryMs: 6_000,
      instances: 3,
      engines: 6,
      requestsPerSecond: 40,
      meanFaultIntervalMs: 800,
      program,
      dir,
    });
    await rm(dir, { recursive: true });
    expect(faults.length).to.be.greaterThan(5);
    expect(findViolations(record, UNTIMED_CHECKS)).to.deep.equal([]);
    const served = record.requests.find(({ status, kind }) => status === 200 && kind === 'book');
    if (served === undefined) throw new Error('No booking request was served.');
    const doubled = { ...record, runs: [...record.runs, runOf(served.id)] };
    expect(findViolations(doubled, UNTIMED_CHECKS).join()).to.include(
      `${served.id} (book): executed 2 times`,
    );
  });
});
