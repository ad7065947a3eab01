/** Runs the instances as separate processes, each connected to the store through its own fault-injecting link. */
import { spawn, type ChildProcess } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { startBatchEngine, type BatchEngine } from '../../src/standins/platform/batchEngine.js';
import { startLogStore, type LogStore } from '../../src/standins/platform/logStore.js';
import { readPeakMemory, RUNTIME_OPTIONS, takesHup } from '../platform/support/program.js';
import { startLink, type Link, type LinkFault } from './link.js';

export const SOAK_EVENTS = 8;
const EVENT_GAP_MS = 20;
const STOP_GRACE_S = 8;
/**
 * Ports of instances. They lie below those that the system gives to outgoing connections, which may
 * take a port while its instance is restarting.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
const RESTART_AFTER_MS = 200;
const MAX_LOG_LINES = 40;
const MEMORY_INTERVAL_MS = 500;
const HUP_CHECK_INTERVAL_MS = 2;

export interface SoakInstance {
  readonly number: number;
  readonly callers: string;
  readonly ready: string;
  /** Sends a signal to the running process. */
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly isRunning: () => boolean;
  /** Sends a SIGHUP to the next process that is started, as soon as it has a handler. */
  readonly hupAtNextStart: () => void;
  readonly setStoreFault: (fault: LinkFault) => void;
  /** The most recent log lines of the process. */
  readonly logLines: () => readonly string[];
}

export interface SoakEngine {
  readonly pool: string;
  readonly engine: BatchEngine;
  readonly link: Link;
}

export interface SoakFleet {
  readonly store: LogStore;
  readonly instances: readonly SoakInstance[];
  /** Running engines; a crashed engine is replaced by one with a new id. */
  readonly engines: () => readonly SoakEngine[];
  readonly allEngines: () => readonly BatchEngine[];
  readonly crashEngine: (index: number) => Promise<void>;
  /** Lists an engine as started again, if it runs. */
  readonly restartListed: (id: string) => void;
  /** Has the running engines write their entries again; those of the others lapse. */
  readonly relistEngines: () => void;
  readonly unexpectedExits: readonly string[];
  /** Most memory that a process has taken; 0 if the system does not tell. */
  readonly peakMemoryMib: () => number;
  readonly close: () => Promise<void>;
}

export interface SoakFleetOptions {
  /** Path of the bundled program. */
  readonly program: string;
  /** Directory for the settings files. */
  readonly dir: string;
  readonly instances: number;
  readonly engines: number;
}

/** Starts the store, the engines and the instance processes. */
export async function startSoakFleet(options: SoakFleetOptions): Promise<SoakFleet> {
  const store = await startLogStore();
  const engines: SoakEngine[] = [];
  const allEngines: BatchEngine[] = [];
  const unexpectedExits: string[] = [];
  const cleanups: (() => void)[] = [];
  /** The entries of all engines by id, without their sequence. */
  const entries = new Map<string, object>();
  let isClosing = false;
  let sequence = 0;
  let peakMemoryMib = 0;

  async function startEngine(pool: string): Promise<SoakEngine> {
    const engine = await startBatchEngine({
      id: `e-${allEngines.length + 1}`,
      isStream: pool === 'models',
      events: SOAK_EVENTS,
      eventGapMs: EVENT_GAP_MS,
    });
    allEngines.push(engine);
    const link = await startLink(engine.address);
    const entry = {
      Service: pool,
      Address: link.address,
      Zone: `domain-${allEngines.length % 3}`,
      Version: 'v1',
      Slots: 16,
      State: 'ready',
      ColdLeftMs: 0,
      born: Date.now(),
    };
    entries.set(engine.id, entry);
    listEngine(engine.id);
    return { pool, engine, link };
  }

  async function recordMemory(pid: number | undefined): Promise<void> {
    if (pid === undefined) return;
    peakMemoryMib = Math.max(peakMemoryMib, (await readPeakMemory(pid)) ?? 0);
  }

  function listEngine(id: string): void {
    sequence += 1;
    const entry = { ...entries.get(id), Seq: sequence };
    store.append('keyed.servers', id, JSON.stringify(entry));
  }

  async function startInstance(number: number): Promise<SoakInstance> {
    const link = await startLink(store.url.replace('http://', ''));
    cleanups.push(link.close);
    const [callers, ready, peers, operators] = await Promise.all([1, 2, 3, 4].map(freePort));
    const settings = join(options.dir, `instance-${number}.yaml`);
    const lines: string[] = [];
    let child: ChildProcess | undefined;
    let isExitRequested = false;
    let isHupPending = false;
    await writeFile(
      settings,
      [
        `instance: { id: instance-${number}, domain: domain-${number % 3}, region: region-${number % 3} }`,
        `listen: { callers: 127.0.0.1:${callers}, peers: 127.0.0.1:${peers}, operators: 127.0.0.1:${operators} }`,
        `platform: { url: "http://${link.address}" }`,
        'log: { form: json }',
        'routing:',
        `  readiness: 127.0.0.1:${ready}`,
        '  readinessPath: /-/readyz',
        '  regions: { domain-0: region-0, domain-1: region-1, domain-2: region-2 }',
        `  tuning: { stopGrace: ${STOP_GRACE_S}s }`,
        '',
      ].join('\n'),
    );

    function start(): void {
      if (isClosing) return;
      isExitRequested = false;
      const args = [...RUNTIME_OPTIONS, options.program, settings];
      const started = spawn(process.execPath, args, { stdio: 'pipe' });
      child = started;
      if (isHupPending) void hupEarly(started);
      isHupPending = false;
      [started.stdout, started.stderr].forEach((stream) =>
        stream.on('data', (part: Buffer) => {
          lines.push(...part.toString().split('\n').filter(Boolean));
          lines.splice(0, Math.max(0, lines.length - MAX_LOG_LINES));
        }),
      );
      started.once('close', (code, signal) => {
        child = undefined;
        if (isClosing) return;
        if (!isExitRequested) {
          unexpectedExits.push(
            `instance-${number} exited unexpectedly: ${code ?? signal}\n${lines.join('\n')}`,
          );
        }
        setTimeout(start, RESTART_AFTER_MS);
      });
    }

    const watch = setInterval(() => {
      void recordMemory(child?.pid);
    }, MEMORY_INTERVAL_MS);
    start();
    cleanups.push(() => clearInterval(watch));
    cleanups.push(() => child?.kill('SIGKILL'));
    return {
      number,
      callers: `http://127.0.0.1:${callers}`,
      ready: `http://127.0.0.1:${ready}/-/readyz`,
      signal: (signal) => {
        isExitRequested ||= signal === 'SIGKILL' || signal === 'SIGTERM';
        child?.kill(signal);
      },
      isRunning: () => child !== undefined,
      hupAtNextStart: () => {
        isHupPending = true;
      },
      setStoreFault: link.setFault,
      logLines: () => lines,
    };
  }

  for (let i = 0; i < options.engines; i += 1) {
    // eslint-disable-next-line no-await-in-loop -- ids are assigned in start order
    engines.push(await startEngine(i % 3 === 0 ? 'desk' : 'models'));
  }
  const numbers = Array.from({ length: options.instances }, (_, i) => i);
  const instances = await Promise.all(numbers.map(startInstance));
  return {
    store,
    instances,
    engines: () => engines,
    allEngines: () => allEngines,
    unexpectedExits,
    peakMemoryMib: () => peakMemoryMib,
    crashEngine: async (index) => {
      const crashed = engines[index];
      if (crashed === undefined) return;
      engines[index] = await startEngine(crashed.pool);
      await crashed.engine.close();
      crashed.link.close();
      store.append('keyed.servers', crashed.engine.id, undefined);
    },
    restartListed: (id) => {
      const entry = entries.get(id);
      if (entry === undefined || !engines.some(({ engine }) => engine.id === id)) return;
      entries.set(id, { ...entry, born: Date.now() });
      listEngine(id);
    },
    relistEngines: () => {
      const running = new Set(engines.map(({ engine }) => engine.id));
      running.forEach(listEngine);
      [...entries.keys()]
        .filter((id) => !running.has(id))
        .forEach((id) => store.append('keyed.servers', id, undefined));
    },
    close: async () => {
      isClosing = true;
      cleanups.forEach((cleanup) => cleanup());
      engines.forEach(({ link }) => link.close());
      await Promise.all(engines.map(async ({ engine }) => engine.close()));
      await store.close();
    },
  };
}

/** Sends a SIGHUP to a process as soon as it has a handler, or not if it ends before. */
async function hupEarly(child: ChildProcess): Promise<void> {
  const { pid } = child;
  if (pid === undefined || child.exitCode !== null || child.signalCode !== null) return;
  if (await takesHup(pid)) child.kill('SIGHUP');
  else {
    await sleep(HUP_CHECK_INTERVAL_MS);
    await hupEarly(child);
  }
}

/** Returns a port that was free when it was probed; another process may take it before it is used. */
async function freePort(): Promise<number> {
  const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
  return (await isFree(port)) ? port : freePort();
}

async function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
