/**
 * Starts a fleet of instances and stand-ins as processes, runs a load with faults against it and
 * prints the results. Exits with 1 if a request did not end, an answer was wrong, a caller was told
 * wrongly whether its request was executed, or a process exited unexpectedly.
 *
 *   node scripts/fleet.mjs --instances 5 --seconds 60 --rate 200 --faults random --seed 1
 */
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import {
  configurationDocument,
  instanceList,
  instanceSettings,
  loadFile,
  planFleet,
  standinSettings,
} from './fleet/files.mjs';
import { createProcessGroup, waitUntilReady } from './fleet/processes.mjs';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const {
  createFaultPlan,
  formatLoadReport,
  formatLoadResult,
  hasOnlyValidOutcomes,
  parseFaultFile,
  parseLoadFile,
  runLoad,
} = await import(join(root, 'dist/src/bench/load/index.js'));

const { values: args } = parseArgs({
  options: {
    instances: { type: 'string', default: '5' },
    engines: { type: 'string', default: '6' },
    services: { type: 'string', default: '3' },
    seconds: { type: 'string', default: '30' },
    /** Requests per second. */
    rate: { type: 'string', default: '100' },
    /** Requests that arrive simultaneously at the start. */
    burst: { type: 'string', default: '0' },
    /** `none`, `random`, or the path of a fault file. */
    faults: { type: 'string', default: 'none' },
    'faults-per-second': { type: 'string', default: '0.5' },
    seed: { type: 'string', default: '1' },
    /** Delay before a killed or stopped instance is restarted. */
    'restart-ms': { type: 'string', default: '1000' },
    report: { type: 'string' },
    json: { type: 'boolean', default: false },
  },
});

const seed = Number(args.seed);
const durationMs = Number(args.seconds) * 1_000;
const plan = await planFleet({
  instances: Number(args.instances),
  engines: Number(args.engines),
  services: Number(args.services),
});
const folder = await mkdtemp(join(tmpdir(), 'primroseswitch-fleet-'));
const command = join(root, 'dist/src/cli/main.js');
const standins = createProcessGroup({ command });
const instances = createProcessGroup({ command, restartMs: Number(args['restart-ms']) });

function unwrap(parsed) {
  if (parsed.kind === 'parsed') return parsed.value;
  throw new Error(parsed.issues.map(({ line, message }) => `line ${line}: ${message}`).join('\n'));
}

async function readFaults() {
  if (args.faults === 'none') return { faults: [] };
  if (args.faults !== 'random') return unwrap(parseFaultFile(await readFile(args.faults, 'utf8')));
  const names = (list) => list.map(({ name }) => name);
  return createFaultPlan({
    seed,
    durationMs,
    faultsPerSecond: Number(args['faults-per-second']),
    instances: names(plan.instances),
    engines: names(plan.engines),
    services: names(plan.services),
    hasPlatform: true,
  });
}

async function startFleet() {
  const write = async (name, text) => {
    const path = join(folder, name);
    await writeFile(path, text);
    return path;
  };
  const standinFile = await write('standins.yaml', standinSettings(plan, seed));
  standins.start('standins', ['standin', 'set', '--file', standinFile]);
  const platform = `http://127.0.0.1:${plan.platform.port}`;
  await waitUntilReady(`${platform}/instances`);
  const list = JSON.stringify(instanceList(plan));
  await fetch(`${platform}/_control/instances`, { method: 'PUT', body: list });

  await write('configuration.yaml', configurationDocument(plan));
  for (const instance of plan.instances) {
    const settings = await write(`${instance.name}.yaml`, instanceSettings(plan, instance));
    instances.start(instance.name, ['serve', '--settings', settings]);
  }
  await Promise.all(
    plan.instances.map(({ operators }) => waitUntilReady(`http://127.0.0.1:${operators}/readyz`)),
  );
}

async function main() {
  await startFleet();
  const faults = await readFaults();
  const file = unwrap(
    parseLoadFile(
      loadFile(plan, {
        seed,
        durationMs,
        ratePerSecond: Number(args.rate),
        burst: Number(args.burst),
      }),
    ),
  );
  const run = await runLoad({ file, faults, pids: instances.pids });
  if (run.kind === 'rejected') throw new Error(`unknown fault targets: ${run.unknownTargets}`);
  const { result } = run;
  console.log(args.json ? JSON.stringify(result) : formatLoadResult(result));
  if (args.report !== undefined) await writeFile(args.report, formatLoadReport(result));
  const failures = [...standins.failures(), ...instances.failures()];
  failures.forEach((text) => console.error(text));
  return hasOnlyValidOutcomes(result) && failures.length === 0 ? 0 : 1;
}

try {
  process.exitCode = await main();
} finally {
  await instances.stop();
  await standins.stop();
  await rm(folder, { recursive: true });
}
