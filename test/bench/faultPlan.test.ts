import { expect } from 'chai';
import fc from 'fast-check';
import { createFaultPlan, parseFaultFile } from '../../src/bench/load/index.js';
import {
  engineFaultSchema,
  platformFaultSchema,
  serviceFaultSchema,
} from '../../src/standins/faults.js';

const TARGETS = {
  instances: ['instance-1', 'instance-2'],
  engines: ['engine-1'],
  services: ['service-1'],
  hasPlatform: true,
};

const schemaOf = (standin: string) => {
  if (standin === 'platform') return platformFaultSchema;
  return standin.startsWith('engine') ? engineFaultSchema : serviceFaultSchema;
};

describe('fault plan', () => {
  const anyPlan = fc
    .record({ seed: fc.nat(), durationMs: fc.integer({ min: 1_000, max: 300_000 }) })
    .map((options) => ({ ...options, ...TARGETS, faultsPerSecond: 2 }));

  it('contains only faults that the stand-in schemas accept', () => {
    fc.assert(
      fc.property(anyPlan, (options) => {
        const plan = createFaultPlan(options);
        expect(parseFaultFile(JSON.stringify(plan)).kind).to.equal('parsed');
        for (const fault of plan.faults) {
          if ('standin' in fault) schemaOf(fault.standin).parse(fault.fault);
        }
      }),
      { seed: 1, numRuns: 50 },
    );
  });

  it('contains faults for every kind of target for any seed, if the load is long', () => {
    fc.assert(
      fc.property(fc.nat(), (seed) => {
        const plan = createFaultPlan({ ...TARGETS, seed, durationMs: 300_000, faultsPerSecond: 2 });
        const targets = plan.faults.map((fault) =>
          'process' in fault ? 'instance' : fault.standin,
        );
        expect([...new Set(targets)]).to.have.members([
          'instance',
          'engine-1',
          'service-1',
          'platform',
        ]);
      }),
      { seed: 1, numRuns: 50, examples: [[1], [2], [3]] },
    );
  });

  it('is deterministic and ends every pause before the end of the load', () => {
    fc.assert(
      fc.property(anyPlan, (options) => {
        const { faults } = createFaultPlan(options);
        expect(createFaultPlan(options).faults).to.deep.equal(faults);
        const signals = faults.flatMap((fault) => ('process' in fault ? [fault] : []));
        const count = (signal: string) => signals.filter((fault) => fault.signal === signal).length;
        expect(count('SIGSTOP')).to.equal(count('SIGCONT'));
        expect(faults.every(({ atMs }) => atMs < options.durationMs)).to.equal(true);
      }),
      { seed: 1, numRuns: 50 },
    );
  });
});
