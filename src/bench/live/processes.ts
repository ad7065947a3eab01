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
import { stringify } from 'yaml';
import { SECTION_NAMES } from '../../configuration/types.js';
import type { Millis } from '../../core/clock.js';

export const BENCH_KEY = 'bench';
export const BENCH_POOL = 'bench';

export interface BenchFleetOptions {
  readonly engines: number;
  readonly slotsPerEngine: number;
  readonly tokenIntervalMs: Millis;
}

export interface BenchFleet {
  readonly engineUrls: readonly string[];
  readonly instanceUrl: string;
  readonly instancePid: number;
  readonly stop: () => Promise<void>;
}

const CLI = fileURLToPath(new URL('../../cli/main.js', import.meta.url));
const PLACE = { domain: 'bench-a', region: 'bench' };
/** Fast enough that prompts cost no time of note. */
const PREFILL_TOKENS_PER_SECOND = 1e9;

/** Starts the engines and the instance. */
export async function startBenchFleet(options: BenchFleetOptions): Promise<BenchFleet> {
  const dir = await mkdtemp(join(tmpdir(), 'primroseswitch-bench-'));
  const children: ChildProcess[] = [];
  const engineUrls = await Promise.all(
    Array.from({ length: options.engines }, async (_, i) => {
      const file = join(dir, `engine-${i}.yaml`);
      await writeFile(file, stringify({ engines: [engineSettings(options, `engine-${i}`)] }));
      const engine = startCli(children, ['standin', 'set', '--file', file]);
      return nextMatch(engine, 'stdout', /engine-\d+ (http:\S+)\n/);
    }),
  );
  const settings = await writeSettings(dir, options, engineUrls);
  const instance = startCli(children, ['serve', '--settings', settings]);
  const address = await nextMatch(instance, 'stderr', /callers on (\S+)\.\n/);
  return {
    engineUrls,
    instanceUrl: `http://${address}`,
    instancePid: instance.pid ?? 0,
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

async function writeSettings(
  dir: string,
  options: BenchFleetOptions,
  engineUrls: readonly string[],
): Promise<string> {
  const hashOf = (text: string) => createHash('sha256').update(text).digest('hex');
  const total = options.engines * options.slotsPerEngine;
  const document = {
    teams: { bench: { keyHashes: [hashOf('bench-team')], sections: SECTION_NAMES } },
    customers: { bench: { keyHashes: [hashOf(BENCH_KEY)] } },
    limits: { waitingRequests: 2 * total, concurrency: 2 * total, rate: 1e6 },
    pools: { [BENCH_POOL]: { kind: 'model' } },
    upstreams: Object.fromEntries(
      engineUrls.map((url, i) => [
        `engine-${i}`,
        { ...PLACE, pool: BENCH_POOL, url, slots: options.slotsPerEngine },
      ]),
    ),
  };
  await writeFile(join(dir, 'document.yaml'), stringify(document));
  const listen = { callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0' };
  const settings = { instance: { id: 'bench-1', ...PLACE }, listen, document: 'document.yaml' };
  const file = join(dir, 'settings.yaml');
  await writeFile(file, stringify(settings));
  return file;
}

function startCli(children: ChildProcess[], args: readonly string[]): ChildProcess {
  const child = spawn(process.execPath, [CLI, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  children.push(child);
  // A benchmark that fails leaves no process behind.
  process.once('exit', () => child.kill());
  return child;
}

/** Resolves with the first group of the pattern once the output of a process has it. */
async function nextMatch(
  child: ChildProcess,
  stream: 'stdout' | 'stderr',
  pattern: RegExp,
): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = '';
    child[stream]?.on('data', (part: Buffer) => {
      text += part.toString();
      const match = pattern.exec(text);
      if (match?.[1] !== undefined) resolve(match[1]);
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
  readonly cpuMs: Millis;
}

const BYTES_PER_KIB = 1_024;
/** Ticks of the kernel's accounting in a second. */
const TICKS_PER_SECOND = 100;
const MS_PER_TICK = 1_000 / TICKS_PER_SECOND;

export async function readProcessUse(pid: number): Promise<ProcessUse> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const kib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]);
  return { residentBytes: kib * BYTES_PER_KIB, cpuMs: ticks * MS_PER_TICK };
}
