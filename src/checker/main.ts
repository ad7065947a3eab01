/**
 * `npm run checker`: explores the claims and configuration protocols to a greater depth than the
 * tests and prints the number of states. Options: `--depth N`, `--faults N`, `--instances N`.
 */
import { parseArgs } from 'node:util';
import { createClaimsCheck } from './claims.js';
import { createConfigurationCheck } from './configuration.js';
import { explore, type ExploreOptions } from './explore.js';

const { values } = parseArgs({
  options: {
    depth: { type: 'string', default: '12' },
    faults: { type: 'string', default: '1' },
    instances: { type: 'string', default: '2' },
  },
});
const maxDepth = Number(values.depth);
const faults = Number(values.faults);
const instances = Number(values.instances);

const checks: readonly (readonly [string, ExploreOptions, boolean])[] = [
  ['claims', createClaimsCheck({ instances, faults, maxDepth }), false],
  [
    'claims, with the log order ignored',
    createClaimsCheck({ instances, faults: 0, maxDepth, withoutLogOrder: true }),
    true,
  ],
  ['configuration', createConfigurationCheck({ instances, faults, maxDepth }), false],
  [
    'configuration, with the base version unchecked',
    createConfigurationCheck({ instances, faults: 0, maxDepth, withoutBaseCheck: true }),
    true,
  ],
];

let isAsExpected = true;
checks.forEach(([name, options, expectsFailure]) => {
  const result = explore(options);
  const counterexample = result.failure;
  const verdict =
    counterexample === undefined
      ? 'no violation'
      : `${counterexample.violation}: ${counterexample.trace.join(', ')}`;
  const scope = result.isComplete ? 'all' : 'the first';
  console.log(`${name}: ${scope} ${result.states} states, ${verdict}`);
  isAsExpected &&= (counterexample !== undefined) === expectsFailure;
});
process.exitCode = isAsExpected ? 0 : 1;
