/**
 * `npm run bench`: runs the micro-benchmarks and prints a table. It can also write the results as JSON
 * and compare them with an earlier run. Options: `--json FILE`, `--compare FILE`, `--only TEXT`.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { readRevision } from '../support/revision.js';
import { timeOperation } from '../support/timing.js';
import { BENCH_CASES, type BenchCase } from './cases.js';

interface BenchResult {
  readonly name: string;
  readonly unit: string;
  readonly nsPerUnit: number;
  readonly bytes?: number;
}

interface BenchRun {
  readonly revision: string;
  readonly results: readonly BenchResult[];
}

const { values } = parseArgs({
  options: {
    json: { type: 'string' },
    compare: { type: 'string' },
    only: { type: 'string' },
  },
});

const referenceRun = values.compare === undefined ? undefined : readRun(values.compare);
const cases = BENCH_CASES.filter(({ name }) => name.includes(values.only ?? ''));
console.log(`revision ${readRevision()}`);
const results = cases.map((benchCase) => {
  const result = runCase(benchCase);
  console.log(formatResult(result, referenceRun));
  return result;
});
if (values.json !== undefined) {
  const run: BenchRun = { revision: readRevision(), results };
  writeFileSync(values.json, `${JSON.stringify(run, null, 2)}\n`);
}

function runCase(benchCase: BenchCase): BenchResult {
  const nsPerUnit = timeOperation(benchCase.prepare());
  const bytes = benchCase.bytes?.();
  const { name, unit } = benchCase;
  return { name, unit, nsPerUnit, ...(bytes === undefined ? {} : { bytes }) };
}

function formatResult(result: BenchResult, reference: BenchRun | undefined): string {
  const before = reference?.results.find(({ name }) => name === result.name);
  const ratio =
    before === undefined ? '' : `  x${(result.nsPerUnit / before.nsPerUnit).toFixed(2)}`;
  const bytes = result.bytes === undefined ? '' : `  ${result.bytes} B`;
  const time = `${result.nsPerUnit.toFixed(0)} ns/${result.unit}`;
  return `${result.name.padEnd(52)}${time.padStart(20)}${bytes}${ratio}`;
}

function readRun(file: string): BenchRun {
  return JSON.parse(readFileSync(file, 'utf8')) as BenchRun;
}
