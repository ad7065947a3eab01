/**
 * Measures the claims protocol, which keeps outcomes exact, and prints the results:
 * `node --expose-gc dist/src/bench/exact/main.js [runs] [seed]`. Exits with 1 if a result exceeds
 * its bound.
 */
import {
  measureAppends,
  measureClaimTime,
  measureFaults,
  measureMemory,
  measureOutage,
  measureRestart,
  type Figure,
} from './measure.js';

const DEFAULT_RUNS = 200;

const [runs, seed] = process.argv.slice(2).map(Number);
const figures: readonly Figure[] = [
  ...measureAppends(9, 1_000),
  ...measureAppends(40, 1_000),
  ...measureClaimTime(3, 20),
  ...measureClaimTime(3, 100),
  ...measureClaimTime(9, 20),
  ...measureClaimTime(9, 100),
  ...measureOutage(),
  ...measureRestart(20),
  ...measureMemory(200_000),
  ...measureFaults(runs ?? DEFAULT_RUNS, seed ?? 1),
];

let hasExceededBound = false;
figures.forEach(({ name, value, unit, bound }) => {
  const exceedsBound = bound !== undefined && value > bound;
  hasExceededBound ||= exceedsBound;
  const limit = bound === undefined ? '' : ` (bound ${bound}${exceedsBound ? ', EXCEEDED' : ''})`;
  process.stdout.write(`${name}: ${value.toFixed(2)} ${unit}${limit}\n`);
});
process.exitCode = hasExceededBound ? 1 : 0;
