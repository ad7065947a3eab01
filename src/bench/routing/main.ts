/**
 * `npm run bench:routing`: replays load patterns on an emulated fleet and prints what callers got.
 * Options: `--seconds N`, `--seed N`, `--json FILE`.
 */
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { MS_PER_SECOND } from '../../core/clock.js';
import { readRevision } from '../support/revision.js';
import { KINDS, PATTERNS } from './patterns.js';
import { replay, summarize, type ReplaySummary } from './replay.js';

const { values } = parseArgs({
  options: {
    seconds: { type: 'string', default: '20' },
    seed: { type: 'string', default: '1' },
    json: { type: 'string' },
  },
});

const revision = readRevision();
console.log(`revision ${revision}`);
printRow(['pattern', 'in time', 'late', 'refused', 'worst cust.', 'begun/s', 'read/s', 'again/s']);
const summaries = PATTERNS.map((pattern) => {
  const results = replay(pattern, {
    lengthMs: Number(values.seconds) * MS_PER_SECOND,
    seed: Number(values.seed),
  });
  const summary = summarize(pattern.name, results, Number(values.seconds));
  printSummary(summary);
  return summary;
});
if (values.json !== undefined) {
  writeFileSync(values.json, `${JSON.stringify({ revision, summaries }, null, 2)}\n`);
}

function printSummary(summary: ReplaySummary): void {
  printRow([
    summary.pattern,
    summary.inTime.toFixed(3),
    summary.late.toFixed(3),
    summary.refused.toFixed(3),
    summary.worstCustomer.toFixed(3),
    ...KINDS.map(({ route }) => (summary.inTimeByRoute[route.name] ?? 0).toFixed(3)),
    summary.begunTokensPerSecond.toFixed(0),
    summary.readTokensPerSecond.toFixed(0),
    summary.readAgainPerSecond.toFixed(0),
  ]);
}

function printRow(cells: readonly string[]): void {
  const [first = '', ...rest] = cells;
  console.log(first.padEnd(30) + rest.map((cell) => cell.padStart(13)).join(''));
}
