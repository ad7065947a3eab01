/** `npm run soak -- --seed S --runs N --minutes M --processes P`: runs of the fault soak by hand. */
import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs, promisify } from 'node:util';
import { findBroken } from './checks.js';
import { CHECKS, runSoak } from './run.js';

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
let brokenRuns = 0;
for (let i = 0; i < Number(values.runs); i += 1) {
  const seed = Number(values.seed) + i;
  // eslint-disable-next-line no-await-in-loop -- one run after the other
  const result = await runSoak({
    seed,
    durationMs: Number(values.minutes) * MS_PER_MINUTE,
    instances: Number(values.processes),
    engines: 9,
    requestsPerS: 60,
    faultsEveryMs: 1_500,
    program,
    dir,
  });
  const { faults, record } = result;
  const broken = findBroken(record, CHECKS);
  const served = record.requests.filter(({ status }) => status === 200).length;
  if (broken.length > 0) brokenRuns += 1;
  process.stdout.write(
    `seed ${seed}: ${faults.length} faults, ${record.requests.length} requests, ${served} served, ${broken.length} broken\n`,
  );
  broken.slice(0, 10).forEach((sentence) => process.stdout.write(`  ${sentence}\n`));
}
await rm(dir, { recursive: true });
process.exitCode = brokenRuns > 0 ? 1 : 0;
