/**
 * `npm run checker`: explores the exact protocols more deeply than CI does and prints the number of
 * states. Options: `--depth N`, `--faults N`, `--instances N`.
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
    'claims, without the order of the log',
    createClaimsCheck({ instances, faults: 0, maxDepth, withoutLogOrder: true }),
    true,
  ],
  ['configuration', createConfigurationCheck({ instances, faults, maxDepth }), false],
  [
    'configuration, without the check of the base version',
    createConfigurationCheck({ instances, faults: 0, maxDepth, withoutBaseCheck: true }),
    true,
  ],
];

let isAsExpected = true;
checks.forEach(([name, options, mustFail]) => {
  const result = explore(options);
  const found = result.failure;
  const verdict =
    found === undefined ? 'no rule broken' : `${found.rule}: ${found.trace.join(', ')}`;
  const scope = result.isComplete ? 'all' : 'the first';
  console.log(`${name}: ${scope} ${result.states} states, ${verdict}`);
  isAsExpected &&= (found !== undefined) === mustFail;
});
process.exitCode = isAsExpected ? 0 : 1;
