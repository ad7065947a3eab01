/** The processes and stand-ins of a run: real instances, each with links of its own to the store. */
import { spawn, type ChildProcess } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { join } from 'node:path';
import { startBatchEngine, type BatchEngine } from '../../src/standins/platform/batchEngine.js';
import { startLogStore, type LogStore } from '../../src/standins/platform/logStore.js';
import { startLink, type Link, type LinkFault } from './link.js';

export const SOAK_EVENTS = 8;
const EVENT_GAP_MS = 20;
const STOP_GRACE_S = 8;
const RESTART_AFTER_MS = 200;
const LAST_LINES = 40;

export interface SoakInstance {
  readonly number: number;
  readonly callers: string;
  readonly ready: string;
  /** Sends a signal to the running process. */
  readonly signal: (signal: NodeJS.Signals) => void;
  readonly isRunning: () => boolean;
  readonly setStoreFault: (fault: LinkFault) => void;
  /** The latest lines of its log. */
  readonly lines: () => readonly string[];
}

export interface SoakEngine {
  readonly pool: string;
  readonly engine: BatchEngine;
  readonly link: Link;
}

export interface SoakFleet {
  readonly store: LogStore;
  readonly instances: readonly SoakInstance[];
  /** Engines that are there; a crashed one is replaced by another under a new id. */
  readonly engines: () => readonly SoakEngine[];
  readonly allEngines: () => readonly BatchEngine[];
  readonly crashEngine: (place: number) => Promise<void>;
  readonly ownEnds: readonly string[];
  readonly close: () => Promise<void>;
}

export interface SoakFleetOptions {
  /** The bundled program. */
  readonly program: string;
  /** Folder for settings. */
  readonly dir: string;
  readonly instances: number;
  readonly engines: number;
}

/** Starts the stand-ins and the processes. */
export async function startSoakFleet(options: SoakFleetOptions): Promise<SoakFleet> {
  const store = await startLogStore();
  const engines: SoakEngine[] = [];
  const all: BatchEngine[] = [];
  const ownEnds: string[] = [];
  const closers: (() => void)[] = [];
  let isClosing = false;
  let beat = 0;

  async function startEngine(pool: string): Promise<SoakEngine> {
    const engine = await startBatchEngine({
      id: `e-${all.length + 1}`,
      isStream: pool === 'models',
      events: SOAK_EVENTS,
      eventGapMs: EVENT_GAP_MS,
    });
    all.push(engine);
    const link = await startLink(engine.address);
    beat += 1;
    const entry = {
      Service: pool,
      Address: link.address,
      Zone: `domain-${all.length % 3}`,
      Version: 'v1',
      Slots: 16,
      State: 'ready',
      ColdLeftMs: 0,
      Seq: beat,
      born: Date.now(),
    };
    store.put('keyed.servers', engine.id, JSON.stringify(entry));
    return { pool, engine, link };
  }

  async function startInstance(number: number): Promise<SoakInstance> {
    const link = await startLink(store.url.replace('http://', ''));
    closers.push(link.close);
    const [callers, ready, peers, operators] = await Promise.all([1, 2, 3, 4].map(freePort));
    const settings = join(options.dir, `instance-${number}.yaml`);
    const lines: string[] = [];
    let child: ChildProcess | undefined;
    let isOrdered = false;
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
      isOrdered = false;
      const started = spawn(process.execPath, [options.program, settings], { stdio: 'pipe' });
      child = started;
      [started.stdout, started.stderr].forEach((stream) =>
        stream.on('data', (part: Buffer) => {
          lines.push(...part.toString().split('\n').filter(Boolean));
          lines.splice(0, Math.max(0, lines.length - LAST_LINES));
        }),
      );
      started.once('close', (code, signal) => {
        child = undefined;
        if (isClosing) return;
        if (!isOrdered) {
          ownEnds.push(
            `instance-${number} ended by itself: ${code ?? signal}\n${lines.join('\n')}`,
          );
        }
        setTimeout(start, RESTART_AFTER_MS);
      });
    }

    start();
    closers.push(() => child?.kill('SIGKILL'));
    return {
      number,
      callers: `http://127.0.0.1:${callers}`,
      ready: `http://127.0.0.1:${ready}/-/readyz`,
      signal: (signal) => {
        isOrdered ||= signal === 'SIGKILL' || signal === 'SIGTERM';
        child?.kill(signal);
      },
      isRunning: () => child !== undefined,
      setStoreFault: link.setFault,
      lines: () => lines,
    };
  }

  for (let i = 0; i < options.engines; i += 1) {
    // eslint-disable-next-line no-await-in-loop -- in the order of their numbers
    engines.push(await startEngine(i % 3 === 0 ? 'desk' : 'models'));
  }
  const numbers = Array.from({ length: options.instances }, (_, i) => i);
  const instances = await Promise.all(numbers.map(startInstance));
  return {
    store,
    instances,
    engines: () => engines,
    allEngines: () => all,
    ownEnds,
    crashEngine: async (place) => {
      const crashed = engines[place];
      if (crashed === undefined) return;
      engines[place] = await startEngine(crashed.pool);
      await crashed.engine.close();
      crashed.link.close();
      store.put('keyed.servers', crashed.engine.id, undefined);
    },
    close: async () => {
      isClosing = true;
      closers.forEach((close) => close());
      engines.forEach(({ link }) => link.close());
      await Promise.all(engines.map(async ({ engine }) => engine.close()));
      await store.close();
    },
  };
}

/** A port that was free a moment ago. */
async function freePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
