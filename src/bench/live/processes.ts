/**
 * Processes that a live benchmark measures: engine stand-ins and one instance, each on its own, on
 * the loopback interface.
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
  /** Instances; with more than one a platform tells them of each other. */
  readonly instances?: number;
  readonly engines: number;
  readonly slotsPerEngine: number;
  readonly tokenIntervalMs: Millis;
  /** Requests that the one customer may have at a time. */
  readonly maxRequests: number;
  /** Core settings as the settings file writes them. */
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
const ADDRESSES = /callers on (\S+), for peers on (\S+) and for operators on (\S+)\./;
const PLACE = { domain: 'bench-a', region: 'bench' };
/** Fast enough that prompts cost no time of note. */
const PREFILL_TOKENS_PER_SECOND = 1e9;

/** Starts the engines and the instance. */
export async function startBenchFleet(options: BenchFleetOptions): Promise<BenchFleet> {
  const dir = await mkdtemp(join(tmpdir(), 'primroseswitch-bench-'));
  const children: ChildProcess[] = [];
  // A benchmark that fails leaves no process behind.
  process.once('exit', () => children.forEach((child) => child.kill()));
  const engineUrls = await Promise.all(
    Array.from({ length: options.engines }, async (_, i) => {
      const file = join(dir, `engine-${i}.yaml`);
      await writeFile(file, stringify({ engines: [engineSettings(options, `engine-${i}`)] }));
      const engine = startCli(children, ['standin', 'set', '--file', file]);
      const [url = ''] = await nextMatch(engine, 'stdout', /engine-\d+ (http:\S+)\n/);
      return url;
    }),
  );
  const platform = startCli(children, ['standin', 'platform']);
  const [platformUrl = ''] = await nextMatch(platform, 'stdout', /(http:\S+)\n/);
  const document = await writeDocument(dir, options, engineUrls);
  const instances = await Promise.all(
    Array.from({ length: options.instances ?? 1 }, async (_, i) => {
      const id = `bench-${i + 1}`;
      const settings = await writeSettings(dir, options, id, document, platformUrl);
      const child = startCli(children, ['serve', '--settings', settings]);
      const match = await nextMatch(child, 'stderr', ADDRESSES);
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

function engineSettings({ slotsPerEngine, tokenIntervalMs }: BenchFleetOptions, name: string) {
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
        { ...PLACE, pool: BENCH_POOL, url, slots: options.slotsPerEngine },
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
    instance: { id, ...PLACE },
    listen: { callers: ANY_PORT, peers: ANY_PORT, operators: ANY_PORT },
    platform: { url: platformUrl },
    document,
    core: options.core ?? {},
  };
  const file = join(dir, `${id}.yaml`);
  await writeFile(file, stringify(settings));
  return file;
}

/** Has the platform list the instances, so that they find each other. */
async function listInstances(
  platformUrl: string,
  instances: readonly { readonly id: string; readonly peers: string }[],
): Promise<void> {
  const list = instances.map(({ id, peers }) => ({ ...PLACE, id, address: peers, state: 'live' }));
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

/** Resolves with the groups of the pattern once the output of a process has it. */
async function nextMatch(
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
    child.once('close', (code) => reject(new Error(`ended with ${code}: ${text}`)));
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

/** Memory and processor time of a process, from the kernel's tables. */
export interface ProcessUse {
  readonly residentBytes: number;
  /** Heap in use, with what is not collected yet. */
  readonly heapBytes: number;
  readonly cpuMs: Millis;
}

const BYTES_PER_KIB = 1_024;
/** Ticks of the kernel's accounting in a second. */
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
