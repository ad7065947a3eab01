import { expect } from 'chai';
import fc from 'fast-check';
import { planRecovery, type RecoveryFacts } from '../../src/core/attempts/recovery.js';
import type { AttemptOutcome } from '../../src/core/types.js';

const failedOutcome = fc.constantFrom<AttemptOutcome>(
  { kind: 'notSent', detail: 'refused' },
  { kind: 'declined', status: 429 },
  { kind: 'upstreamError', status: 500, detail: 'error' },
  { kind: 'cut', detail: 'reset' },
  { kind: 'silent' },
  { kind: 'foreign' },
  { kind: 'cancelled' },
);

const facts: fc.Arbitrary<RecoveryFacts> = fc.record({
  outcome: failedOutcome,
  isIdempotent: fc.boolean(),
  hasForwarded: fc.boolean(),
  mayHaveRun: fc.boolean(),
  canResume: fc.boolean(),
  isUpstreamStopping: fc.boolean(),
});

const isProvablyNotRun = (outcome: AttemptOutcome) =>
  outcome.kind === 'notSent' || outcome.kind === 'declined';

describe('recovery of a failed attempt', () => {
  it('never finishes a request and never reports it as not run', () => {
    fc.assert(
      fc.property(facts, (f) => {
        const recovery = planRecovery(f);
        expect(recovery.kind).to.not.equal('finish');
        if (recovery.kind === 'giveUp') expect(recovery.executed).to.not.equal('no');
      }),
      { seed: 1, numRuns: 500 },
    );
  });

  it('retries from the start only if nothing has been forwarded', () => {
    fc.assert(
      fc.property(facts, (f) => {
        const recovery = planRecovery(f);
        if (recovery.kind === 'retry') expect(f.hasForwarded).to.equal(false);
      }),
      { seed: 2, numRuns: 500 },
    );
  });

  it('retries a non-idempotent request only if it was definitely not run', () => {
    fc.assert(
      fc.property(facts, (f) => {
        const { kind } = planRecovery({ ...f, isIdempotent: false, hasForwarded: false });
        if (isProvablyNotRun(f.outcome)) expect(kind).to.equal('retry');
        else expect(kind).to.equal('giveUp');
      }),
      { seed: 3, numRuns: 500 },
    );
  });

  it('still reports that an earlier attempt may have run if a later one was declined', () => {
    const declined = { kind: 'declined', status: 503 } as const;
    const base = { outcome: declined, isIdempotent: true, hasForwarded: false, canResume: false };
    const plan = (mayHaveRun: boolean) =>
      planRecovery({ ...base, mayHaveRun, isUpstreamStopping: false });
    expect(plan(true)).to.deep.equal({ kind: 'retry', mayHaveRun: true });
    expect(plan(false)).to.deep.equal({ kind: 'retry', mayHaveRun: false });
  });

  it('resumes an interrupted stream on its engine, or moves it if the engine is stopping', () => {
    const cut = { kind: 'cut', detail: 'reset' } as const;
    const base = { outcome: cut, isIdempotent: true, hasForwarded: true, mayHaveRun: false };
    const plan = (isUpstreamStopping: boolean) =>
      planRecovery({ ...base, canResume: true, isUpstreamStopping }).kind;
    expect(plan(false)).to.equal('resume');
    expect(plan(true)).to.equal('move');
  });
});
