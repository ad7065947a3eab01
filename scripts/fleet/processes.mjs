/** Child processes of a trial fleet. Each is ended by its own id. */
import { spawn } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';

const KILL_AFTER_MS = 15_000;
const READY_INTERVAL_MS = 50;
const READY_LIMIT_MS = 30_000;

/** Ways to end that a fault brings about: a kill, and a planned stop. */
const isExpectedEnd = (code, signal) => signal === 'SIGKILL' || code === 0;

/**
 * Creates an empty group of processes. `pids` follows restarts. A process that is killed or stops as
 * planned is started again after `restartMs`; any other end is listed by `broken`.
 */
export function createProcesses({ command, restartMs }) {
  const children = new Map();
  const pids = new Map();
  const broken = [];
  let isStopping = false;

  function start(name, args) {
    const child = spawn(process.execPath, [command, ...args], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    children.set(name, child);
    pids.set(name, child.pid);
    child.once('exit', (code, signal) => {
      if (isStopping) return;
      if (restartMs === undefined || !isExpectedEnd(code, signal)) {
        broken.push(`${name} ended by itself: ${signal ?? `code ${code}`}`);
        return;
      }
      setTimeout(() => {
        if (!isStopping) start(name, args);
      }, restartMs);
    });
  }

  async function end(child) {
    if (child.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGCONT');
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), KILL_AFTER_MS);
    await exited;
    clearTimeout(timer);
  }

  return {
    pids,
    broken: () => broken,
    start,
    stop: async () => {
      isStopping = true;
      await Promise.all([...children.values()].map(end));
    },
  };
}

/** Waits until `GET url` answers 200. Rejects after a time. */
export async function waitUntilReady(url, startedAt = Date.now()) {
  const res = await fetch(url).catch(() => undefined);
  await res?.arrayBuffer();
  if (res?.status === 200) return;
  if (Date.now() - startedAt > READY_LIMIT_MS) throw new Error(`${url} is not ready`);
  await sleep(READY_INTERVAL_MS);
  await waitUntilReady(url, startedAt);
}
