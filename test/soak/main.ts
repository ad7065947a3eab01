/** Runs the soak test manually: `npm run soak -- --seed S --runs N --minutes M --processes P`. */
import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs, promisify } from 'node:util';
import { findViolations } from './checks.js';
import { DEFAULT_CHECKS, runSoak } from './run.js';

const MS_PER_MINUTE = 60_000;

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: String(Math.floor(Math.random() * 1e6)) },
    runs: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '0.5' },
    processes: { type: 'string', default: '6' },
  },
});
const dir = await mkdtemp(join(tmpdir(), 'primroseswitch-soak-'));
const program = join(dir, 'program.mjs');
await promisify(execFile)(process.execPath, [join('scripts', 'bundle.mjs'), program]);
let failedRuns = 0;
for (let i = 0; i < Number(values.runs); i += 1) {
  const seed = Number(values.seed) + i;
  // eslint-disable-next-line no-await-in-loop -- runs are sequential
  const result = await runSoak({
    seed,
    durationMs: Number(values.minutes) * MS_PER_MINUTE,
    instances: Number(values.processes),
    engines: 9,
    requestsPerSecond: 60,
    meanFaultIntervalMs: 1_500,
    program,
    dir,
  });
  const { faults, record } = result;
  const violations = findViolations(record, DEFAULT_CHECKS);
  const served = record.requests.filter(({ status }) => status === 200).length;
  if (violations.length > 0) failedRuns += 1;
  process.stdout.write(
    `seed ${seed}: ${faults.length} faults, ${record.requests.length} requests, ${served} served, peak ${Math.round(record.peakMemoryMib)} MiB, ${violations.length} violations\n`,
  );
  violations.slice(0, 10).forEach((violation) => process.stdout.write(`  ${violation}\n`));
}
await rm(dir, { recursive: true });
process.exitCode = failedRuns > 0 ? 1 : 0;
