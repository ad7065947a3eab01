/** Starts the bundled program as a process of its own, as the platform does. */
import { execFile, spawn } from 'node:child_process';
import { readFile, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { fillTemplate } from './settings.js';

const execute = promisify(execFile);
const MIB = 1024 * 1024;
const KIB = 1024;

/** A built bundle in a folder of its own, without `node_modules`. */
export interface Bundle {
  readonly dir: string;
  readonly program: string;
  readonly remove: () => Promise<void>;
}

export interface Program extends SpawnedProgram {
  /** Address of its callers' port. */
  readonly callers: string;
  /** Peak of its resident memory in MiB, or `undefined` if the system does not tell. */
  readonly peakMemoryMib: () => Promise<number | undefined>;
}

/** Options with which the platform starts the program (deploy/system.toml). */
export const RUNTIME_OPTIONS = ['--max-old-space-size=160', '--max-semi-space-size=4'];

export async function buildBundle(): Promise<Bundle> {
  const dir = await mkdtemp(join(tmpdir(), 'primroseswitch-'));
  const program = join(dir, 'program.mjs');
  await execute(process.execPath, [join('scripts', 'bundle.mjs'), program]);
  return { dir, program, remove: async () => rm(dir, { recursive: true }) };
}

/** Returns settings with ephemeral ports; `fields` replace values of the platform. */
export async function settingsText(
  storeUrl: string,
  fields: Readonly<Record<string, string>> = {},
): Promise<string> {
  return fillTemplate({
    NodeName: 'instance-1',
    Zone: 'domain-a',
    Region: 'region-a',
    'Listen.Front': '127.0.0.1:0',
    'Listen.Ready': '127.0.0.1:0',
    Ip: '127.0.0.1',
    'PortRange.0': '0',
    'PortRange.1': '0',
    'Provider.Address': storeUrl.replace('http://', ''),
    ...fields,
  });
}

export interface SpawnedProgram {
  readonly pid: number;
  readonly output: () => string;
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly ended: Promise<number | NodeJS.Signals | null>;
  /** Resolves once a line contains `text`; rejects if the process ends before. */
  readonly untilOutput: (text: string) => Promise<void>;
}

/** Starts the program with settings, and does not wait for anything. */
export async function spawnProgram(
  { dir, program }: Bundle,
  settings: string,
): Promise<SpawnedProgram> {
  const file = join(dir, 'settings.yaml');
  await writeFile(file, settings);
  // The working directory has no node_modules, so only the bundle can be loaded.
  const child = spawn(process.execPath, [...RUNTIME_OPTIONS, program, file], { cwd: dir });
  let output = '';
  const waiting = new Map<string, () => void>();
  child.stdout.on('data', (part: Buffer) => {
    output += part.toString();
    waiting.forEach((resolve, text) => {
      if (output.includes(text)) resolve();
    });
  });
  child.stderr.on('data', (part: Buffer) => {
    output += part.toString();
  });
  const ended = new Promise<number | NodeJS.Signals | null>((resolve) => {
    child.once('close', (code, signal) => resolve(code ?? signal));
  });
  return {
    pid: child.pid ?? 0,
    output: () => output,
    signal: (signal) => child.kill(signal),
    ended,
    untilOutput: async (text) => {
      if (output.includes(text)) return;
      await Promise.race([
        new Promise<void>((resolve) => {
          waiting.set(text, resolve);
        }),
        ended.then((code) => {
          throw new Error(`the process ended with ${code}: ${output.slice(-2_000)}`);
        }),
      ]);
    },
  };
}

/** Starts the program and waits until it is ready. */
export async function startProgram(
  bundle: Bundle,
  storeUrl: string,
  fields: Readonly<Record<string, string>> = {},
): Promise<Program> {
  const spawned = await spawnProgram(bundle, await settingsText(storeUrl, fields));
  await spawned.untilOutput('"event":"ready"');
  const callers = /"event":"started".*?"callers":"([^"]+)"/.exec(spawned.output())?.[1] ?? '';
  return { ...spawned, callers, peakMemoryMib: async () => readPeakMemory(spawned.pid) };
}

/** Listens on a port, so that nobody else can. */
export async function takePort(): Promise<{ readonly address: string; readonly free: () => void }> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, free: () => server.close() };
}

/** Returns the peak of a process's resident memory in MiB, or `undefined` if the system does not tell. */
export async function readPeakMemory(pid: number): Promise<number | undefined> {
  const kib = /^VmHWM:\s+(\d+) kB/m.exec(await readStatus(pid))?.[1];
  return kib === undefined ? undefined : (Number(kib) * KIB) / MIB;
}

/** Whether a process has a handler of its own for SIGHUP; without one, the signal ends it. */
export async function takesHup(pid: number): Promise<boolean> {
  const caught = /^SigCgt:\s+([0-9a-f]+)/m.exec(await readStatus(pid))?.[1];
  // SIGHUP is signal 1, the lowest bit.
  return caught !== undefined && Number.parseInt(caught.slice(-1), 16) % 2 === 1;
}

async function readStatus(pid: number): Promise<string> {
  return readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
}
