/**
 * Starts the processes for live benchmarks on the loopback interface: engine stand-ins, a platform
 * stand-in and the instances, each in a process of its own.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { stringify } from 'yaml';
import { SECTION_NAMES } from '../../configuration/types.js';
import type { Millis } from '../../core/clock.js';

export const BENCH_KEY = 'bench';
export const BENCH_POOL = 'bench';

export interface BenchFleetOptions {
  /** Number of instances. They discover each other through the platform stand-in. */
  readonly instances?: number;
  readonly engines: number;
  readonly slotsPerEngine: number;
  readonly tokenIntervalMs: Millis;
  /** Maximum number of concurrent requests of the only customer. */
  readonly maxRequests: number;
  /** Core settings in the format of the settings file. */
  readonly core?: Readonly<Record<string, unknown>>;
}

export interface BenchFleet {
  readonly engineUrls: readonly string[];
  readonly instanceUrls: readonly string[];
  readonly statusUrls: readonly string[];
  readonly instancePids: readonly number[];
  readonly stop: () => Promise<void>;
}

const CLI = fileURLToPath(new URL('../../cli/main.js', import.meta.url));
const ANY_PORT = '127.0.0.1:0';
const LISTENING_PATTERN = /callers on (\S+), for peers on (\S+) and for operators on (\S+)\./;
const BENCH_LOCATION = { domain: 'bench-a', region: 'bench' };
/** High enough that the time to process prompts is negligible. */
const PREFILL_TOKENS_PER_SECOND = 1e9;

/** Starts the engines, the platform and the instances. */
export async function startBenchFleet(options: BenchFleetOptions): Promise<BenchFleet> {
  const dir = await mkdtemp(join(tmpdir(), 'primroseswitch-bench-'));
  const children: ChildProcess[] = [];
  // Stops the processes if the benchmark fails.
  process.once('exit', () => children.forEach((child) => child.kill()));
  const engineUrls = await Promise.all(
    Array.from({ length: options.engines }, async (_, i) => {
      const file = join(dir, `engine-${i}.yaml`);
      await writeFile(file, stringify({ engines: [createEngineSettings(options, `engine-${i}`)] }));
      const engine = startCli(children, ['standin', 'set', '--file', file]);
      const [url = ''] = await waitForMatch(engine, 'stdout', /engine-\d+ (http:\S+)\n/);
      return url;
    }),
  );
  const platform = startCli(children, ['standin', 'platform']);
  const [platformUrl = ''] = await waitForMatch(platform, 'stdout', /(http:\S+)\n/);
  const document = await writeDocument(dir, options, engineUrls);
  const instances = await Promise.all(
    Array.from({ length: options.instances ?? 1 }, async (_, i) => {
      const id = `bench-${i + 1}`;
      const settings = await writeSettings(dir, options, id, document, platformUrl);
      const child = startCli(children, ['serve', '--settings', settings]);
      const match = await waitForMatch(child, 'stderr', LISTENING_PATTERN);
      const [address = '', peers = '', operators = ''] = match;
      return { id, child, address, peers, operators };
    }),
  );
  await listInstances(platformUrl, instances);
  return {
    engineUrls,
    instanceUrls: instances.map(({ address }) => `http://${address}`),
    statusUrls: instances.map(({ operators }) => `http://${operators}/status`),
    instancePids: instances.map(({ child }) => child.pid ?? 0),
    stop: async () => {
      await Promise.all(children.map(stopChild));
      await rm(dir, { recursive: true });
    },
  };
}

function createEngineSettings(
  { slotsPerEngine, tokenIntervalMs }: BenchFleetOptions,
  name: string,
) {
  return {
    name,
    batchSize: slotsPerEngine,
    tokenIntervalMs,
    prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
  };
}

/** Writes the configuration document of the fleet. */
async function writeDocument(
  dir: string,
  options: BenchFleetOptions,
  engineUrls: readonly string[],
): Promise<string> {
  const hashOf = (text: string) => createHash('sha256').update(text).digest('hex');
  const limit = options.maxRequests;
  const document = {
    teams: { bench: { keyHashes: [hashOf('bench-team')], sections: SECTION_NAMES } },
    customers: { bench: { keyHashes: [hashOf(BENCH_KEY)] } },
    limits: { waitingRequests: limit, concurrency: limit, rate: 1e6 },
    pools: { [BENCH_POOL]: { kind: 'model' } },
    upstreams: Object.fromEntries(
      engineUrls.map((url, i) => [
        `engine-${i}`,
        { ...BENCH_LOCATION, pool: BENCH_POOL, url, slots: options.slotsPerEngine },
      ]),
    ),
  };
  const file = join(dir, 'document.yaml');
  await writeFile(file, stringify(document));
  return file;
}

/** Writes the settings of one instance. */
async function writeSettings(
  dir: string,
  options: BenchFleetOptions,
  id: string,
  document: string,
  platformUrl: string,
): Promise<string> {
  const settings = {
    instance: { id, ...BENCH_LOCATION },
    listen: { callers: ANY_PORT, peers: ANY_PORT, operators: ANY_PORT },
    platform: { url: platformUrl },
    document,
    core: options.core ?? {},
  };
  const file = join(dir, `${id}.yaml`);
  await writeFile(file, stringify(settings));
  return file;
}

/** Registers the instances with the platform, so that they find each other. */
async function listInstances(
  platformUrl: string,
  instances: readonly { readonly id: string; readonly peers: string }[],
): Promise<void> {
  const list = instances.map(({ id, peers }) => ({
    ...BENCH_LOCATION,
    id,
    address: peers,
    state: 'live',
  }));
  await request(`${platformUrl}/_control/instances`, {
    method: 'PUT',
    body: JSON.stringify({ instances: list }),
  }).then(async ({ body }) => body.dump());
}

function startCli(children: ChildProcess[], args: readonly string[]): ChildProcess {
  const child = spawn(process.execPath, [CLI, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  children.push(child);
  return child;
}

/** Waits until the output of a process matches the pattern and returns the captured groups. */
async function waitForMatch(
  child: ChildProcess,
  stream: 'stdout' | 'stderr',
  pattern: RegExp,
): Promise<readonly string[]> {
  return new Promise((resolve, reject) => {
    let text = '';
    child[stream]?.on('data', (part: Buffer) => {
      text += part.toString();
      const match = pattern.exec(text);
      if (match !== null) resolve(match.slice(1));
    });
    child.once('close', (code) => reject(new Error(`process exited with code ${code}: ${text}`)));
  });
}

async function stopChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null) return;
  const ended = new Promise((resolve) => {
    child.once('close', resolve);
  });
  child.kill('SIGTERM');
  await ended;
}

/** Memory and processor time of a process, from `/proc` and the status endpoint. */
export interface ProcessUse {
  readonly residentBytes: number;
  /** Heap in use, including garbage that is not collected yet. */
  readonly heapBytes: number;
  readonly cpuMs: Millis;
}

const BYTES_PER_KIB = 1_024;
/** Clock ticks per second in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;
const MS_PER_TICK = 1_000 / TICKS_PER_SECOND;

export async function readProcessUse(pid: number, statusUrl: string): Promise<ProcessUse> {
  const { body } = await request(statusUrl);
  const { memory } = (await body.json()) as { readonly memory: { readonly heapUsed: number } };
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const kib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  const residentBytes = kib * BYTES_PER_KIB;
  return { residentBytes, heapBytes: memory.heapUsed, cpuMs: ticks * MS_PER_TICK };
}
