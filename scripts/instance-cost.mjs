/**
 * Measures what an instance costs beside a number of others: processor time a second and memory of
 * each process of a fleet without requests, and optionally a CPU profile of one of them.
 *
 *   node scripts/instance-cost.mjs --instances 2,12,30 --seconds 10 [--profile DIR]
 */
import { execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const { startLogStore } = await import(join(root, 'dist/src/standins/platform/logStore.js'));

const { values: args } = parseArgs({
  options: {
    /** Fleet sizes, separated by commas. */
    instances: { type: 'string', default: '2,12,30' },
    /** Failure domains over which the instances are spread. */
    domains: { type: 'string', default: '6' },
    /** Upstreams in the list. */
    upstreams: { type: 'string', default: '58' },
    seconds: { type: 'string', default: '10' },
    /** Time for which the fleet runs before the measurement. */
    settle: { type: 'string', default: '6' },
    program: { type: 'string', default: join(root, 'target/primroseswitch.mjs') },
    /** Directory for a CPU profile of the first instance. */
    profile: { type: 'string' },
  },
});

/** Instances that run now; they end with this process, however it ends. */
const running = new Set();
['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => process.exit(1)));
process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));

const MS_PER_SECOND = 1_000;
const KIB_PER_MIB = 1_024;
const ticksPerSecond = Number(execFileSync('getconf', ['CLK_TCK']).toString());
const domains = Number(args.domains);

/** Ports of an instance; below the range from which the system assigns ports by itself. */
const FIRST_PORT = 21_000;
const PORTS_PER_INSTANCE = 4;

async function writeSettings(dir, storeUrl, number) {
  const callers = FIRST_PORT + number * PORTS_PER_INSTANCE;
  const [peers, operators, readiness] = [callers + 1, callers + 2, callers + 3];
  const file = join(dir, `instance-${number}.yaml`);
  const regions = Array.from({ length: domains }, (_, i) => `d${i}: r${Math.floor(i / 2)}`);
  const domain = number % domains;
  await writeFile(
    file,
    [
      `instance: { id: front-d${domain}-${number}, domain: d${domain}, region: r${Math.floor(domain / 2)} }`,
      `listen: { callers: 127.0.0.1:${callers}, peers: 127.0.0.1:${peers}, operators: 127.0.0.1:${operators} }`,
      `platform: { url: "${storeUrl}" }`,
      'log: { form: json }',
      'routing:',
      `  readiness: 127.0.0.1:${readiness}`,
      '  readinessPath: /-/readyz',
      `  regions: { ${regions.join(', ')} }`,
      '',
    ].join('\n'),
  );
  return file;
}

function listUpstreams(store) {
  for (let i = 0; i < Number(args.upstreams); i += 1) {
    const entry = {
      Service: i % 9 === 0 ? 'desk' : 'models',
      Address: `127.0.0.1:${9 + i}`,
      Zone: `d${i % domains}`,
      Version: 'v1',
      Slots: 16,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: 1,
      born: Date.now(),
    };
    store.append('keyed.servers', `engine-${i}`, JSON.stringify(entry));
  }
  const configuration = {
    Version: 1,
    Routes: [],
    Services: [
      { Name: 'models', MaxConns: 1_000 },
      { Name: 'desk', MaxConns: 1_000 },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 1_048_576,
      HeaderTimeoutMs: 5_000,
      IdleTimeoutMs: 30_000,
    },
    Tenants: [],
  };
  store.append('keyed.op', 'config', JSON.stringify(configuration));
}

/** Returns the processor time of a process in milliseconds. */
async function processorTime(pid) {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return ((Number(fields[11]) + Number(fields[12])) * MS_PER_SECOND) / ticksPerSecond;
}

/** Returns the proportional set size of a process in MiB. */
async function memory(pid) {
  const text = await readFile(`/proc/${pid}/smaps_rollup`, 'utf8');
  return Number(/^Pss:\s+(\d+)/mu.exec(text)?.[1] ?? 0) / KIB_PER_MIB;
}

const mean = (values) => values.reduce((sum, value) => sum + value, 0) / values.length;

async function measure(count) {
  const dir = await mkdtemp(join(tmpdir(), 'instance-cost-'));
  const store = await startLogStore();
  listUpstreams(store);
  const messages = [];
  const children = [];
  const exits = [];
  for (let i = 0; i < count; i += 1) {
    const settings = await writeSettings(dir, store.url, i);
    const profiled = i === 0 && args.profile !== undefined;
    const flags = profiled ? ['--cpu-prof', `--cpu-prof-dir=${args.profile}`] : [];
    const child = spawn(
      process.execPath,
      [...flags, '--max-old-space-size=160', '--max-semi-space-size=4', args.program, settings],
      { stdio: ['ignore', 'pipe', 'inherit'] },
    );
    child.stdout.on('data', (bytes) => {
      [...bytes.toString().matchAll(/"messagesIn":(\d+),"messagesOut":(\d+)/gu)].forEach(
        ([, received, sent]) => messages.push(Number(received) + Number(sent)),
      );
    });
    running.add(child);
    child.once('exit', () => running.delete(child));
    children.push(child);
    exits.push(once(child, 'exit'));
  }
  await sleep(Number(args.settle) * MS_PER_SECOND);
  const startup = await Promise.all(children.map(({ pid }) => processorTime(pid)));
  const callsBefore = [...store.calls().values()].reduce((a, b) => a + b, 0);
  messages.length = 0;
  await sleep(Number(args.seconds) * MS_PER_SECOND);
  const end = await Promise.all(children.map(({ pid }) => processorTime(pid)));
  const calls = [...store.calls().values()].reduce((a, b) => a + b, 0) - callsBefore;
  const perSecond = end.map((ms, i) => (ms - startup[i]) / Number(args.seconds));
  const sizes = await Promise.all(children.map(({ pid }) => memory(pid)));
  const messagesPerSecond = messages.length === 0 ? 0 : mean(messages);
  children.forEach((child) => child.kill(args.profile === undefined ? 'SIGKILL' : 'SIGTERM'));
  await Promise.all(exits);
  await store.close();
  await rm(dir, { recursive: true });
  return { count, perSecond, sizes, startup, messagesPerSecond, calls };
}

process.stdout.write(
  '| instances | ms/s, mean | ms/s, most | messages/s | calls/s, all | MiB, mean | MiB, most | ms to start |\n' +
    '| --- | --- | --- | --- | --- | --- | --- | --- |\n',
);
for (const count of args.instances.split(',').map(Number)) {
  const result = await measure(count);
  const cells = [
    result.count,
    mean(result.perSecond).toFixed(1),
    Math.max(...result.perSecond).toFixed(1),
    result.messagesPerSecond.toFixed(1),
    (result.calls / Number(args.seconds)).toFixed(1),
    mean(result.sizes).toFixed(1),
    Math.max(...result.sizes).toFixed(1),
    mean(result.startup).toFixed(0),
  ];
  process.stdout.write(`| ${cells.join(' | ')} |\n`);
}
