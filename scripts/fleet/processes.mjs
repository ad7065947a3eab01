/** Child processes of a local test fleet. Signals are sent only to the ids of these processes. */
import { spawn } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';

const KILL_AFTER_MS = 15_000;
const READY_INTERVAL_MS = 50;
const READY_TIMEOUT_MS = 30_000;

/** Whether an exit is the result of an injected fault: a kill or a planned stop. */
const isExpectedExit = (code, signal) => signal === 'SIGKILL' || code === 0;

/**
 * Creates an empty group of processes. A process that is killed or stops as planned is restarted
 * after `restartMs`, and `pids` is updated. Any other exit is reported by `failures`, as is every
 * exit in a group without `restartMs`.
 */
export function createProcessGroup({ command, restartMs }) {
  const children = new Map();
  const pids = new Map();
  const failures = [];
  let isStopping = false;

  function start(name, args) {
    const child = spawn(process.execPath, [command, ...args], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
    children.set(name, child);
    pids.set(name, child.pid);
    child.once('exit', (code, signal) => {
      if (isStopping) return;
      if (restartMs === undefined || !isExpectedExit(code, signal)) {
        failures.push(`${name} exited unexpectedly: ${signal ?? `code ${code}`}`);
        return;
      }
      setTimeout(() => {
        if (!isStopping) start(name, args);
      }, restartMs);
    });
  }

  async function terminate(child) {
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
    failures: () => failures,
    start,
    stop: async () => {
      isStopping = true;
      await Promise.all([...children.values()].map(terminate));
    },
  };
}

/** Waits until `GET url` returns 200. Rejects after `READY_TIMEOUT_MS`. */
export async function waitUntilReady(url, startedAt = Date.now()) {
  const res = await fetch(url).catch(() => undefined);
  await res?.arrayBuffer();
  if (res?.status === 200) return;
  if (Date.now() - startedAt > READY_TIMEOUT_MS) throw new Error(`timed out waiting for ${url}`);
  await sleep(READY_INTERVAL_MS);
  await waitUntilReady(url, startedAt);
}
