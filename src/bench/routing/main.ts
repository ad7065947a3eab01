/**
 * `npm run bench:routing`: replays load patterns on an emulated fleet with each routing policy and
 * prints the outcomes. Options: `--seconds N`, `--seed N`, `--only POLICY`, `--json FILE`,
 * `--report FILE` (an HTML page with plots).
 */
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { MS_PER_SECOND } from '../../core/clock.js';
import { formatPlotPage, type Plot } from '../support/plotPage.js';
import { readRevision } from '../support/revision.js';
import type { FleetPolicy } from './emulatedFleet.js';
import { REQUEST_KINDS, LOAD_PATTERNS, type LoadPattern } from './patterns.js';
import { replay, summarize, type ReplaySummary } from './replay.js';
import type { FleetResults } from './results.js';

const POLICIES: readonly FleetPolicy[] = ['core', 'coreWithoutNews', 'homes', 'leastLoaded'];
const COLUMN_WIDTH = 12;
const FIRST_COLUMN_WIDTH = 46;

const { values } = parseArgs({
  options: {
    seconds: { type: 'string', default: '20' },
    seed: { type: 'string', default: '1' },
    only: { type: 'string' },
    json: { type: 'string' },
    report: { type: 'string' },
  },
});

interface Run {
  readonly pattern: LoadPattern;
  readonly policy: FleetPolicy;
  readonly results: FleetResults;
  readonly summary: ReplaySummary;
}

const seconds = Number(values.seconds);
const revision = readRevision();
const header = formatRow([
  'pattern, policy',
  'in time',
  'late',
  'refused',
  'worst cust.',
  ...REQUEST_KINDS.map(({ route }) => route.name),
  'begun/s',
  'read/s',
  'again/s',
]);
console.log(`revision ${revision}`);
console.log(header);
const policies = POLICIES.filter((policy) => values.only === undefined || policy === values.only);
const runs = LOAD_PATTERNS.flatMap((pattern) => policies.map((policy) => run(pattern, policy)));
const summaries = runs.map(({ summary }) => summary);
if (values.json !== undefined) {
  writeFileSync(values.json, `${JSON.stringify({ revision, summaries }, null, 2)}\n`);
}
if (values.report !== undefined) {
  const text = [
    `revision ${revision}, seed ${values.seed}`,
    header,
    ...summaries.map(formatSummary),
  ];
  const page = { title: 'Load patterns on an emulated fleet', text: text.join('\n') };
  writeFileSync(
    values.report,
    formatPlotPage({ ...page, plots: LOAD_PATTERNS.flatMap(createPlots) }),
  );
}

function run(pattern: LoadPattern, policy: FleetPolicy): Run {
  const options = { durationMs: seconds * MS_PER_SECOND, seed: Number(values.seed), policy };
  const results = replay(pattern, options);
  const summary = summarize(pattern.name, policy, results, seconds);
  console.log(formatSummary(summary));
  return { pattern, policy, results, summary };
}

function formatSummary(summary: ReplaySummary): string {
  return formatRow([
    `${summary.pattern}, ${summary.policy}`,
    summary.inTime.toFixed(3),
    summary.late.toFixed(3),
    summary.refused.toFixed(3),
    summary.worstCustomer.toFixed(3),
    ...REQUEST_KINDS.map(({ route }) => (summary.inTimeByRoute[route.name] ?? 0).toFixed(3)),
    summary.begunTokensPerSecond.toFixed(0),
    summary.readTokensPerSecond.toFixed(0),
    summary.readAgainPerSecond.toFixed(0),
  ]);
}

function formatRow(cells: readonly string[]): string {
  const [first = '', ...rest] = cells;
  return (
    first.padEnd(FIRST_COLUMN_WIDTH) + rest.map((cell) => cell.padStart(COLUMN_WIDTH)).join('')
  );
}

/** Plots, for each policy, the fractions of requests in time, late and refused over time. */
function createPlots(pattern: LoadPattern): readonly Plot[] {
  const patternRuns = runs.filter((candidate) => candidate.pattern === pattern);
  const times = [...(patternRuns[0]?.results.bySecond.keys() ?? [])].sort((a, b) => a - b);
  return (['inTime', 'late', 'refused'] as const).map((what) => ({
    title: `${pattern.name}: ${what === 'inTime' ? 'in time' : what}`,
    unit: 'fraction',
    lines: patternRuns.map(({ policy }) => policy),
    data: [
      times,
      ...patternRuns.map(({ results }) =>
        times.map((second) => {
          const tally = results.bySecond.get(second);
          return tally === undefined || tally.requests === 0 ? null : tally[what] / tally.requests;
        }),
      ),
    ],
  }));
}
