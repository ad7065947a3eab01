/**
 * Opens a port that may still be taken: the process before may not be gone yet, or a connection of another
 * process uses the port for a moment.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Millis } from '../core/clock.js';

export interface ListenRetryOptions {
  readonly retryForMs?: Millis;
  readonly intervalMs?: Millis;
  /** Called once if the port is taken. */
  readonly onTaken: (reason: string) => void;
}

/** Longer than a stopping process may take (8 s on the users' deployments). */
const DEFAULTS = { retryForMs: 12_000, intervalMs: 50 } as const;

/** Calls `listen` until the port is free. Rejects with any other error, or if the time is over. */
export async function listenWhenFree(
  listen: () => Promise<string>,
  options: ListenRetryOptions,
): Promise<string> {
  const { retryForMs, intervalMs, onTaken } = { ...DEFAULTS, ...options };
  const attempts = Math.ceil(retryForMs / intervalMs);
  for (let i = 0; i < attempts; i += 1) {
    try {
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      return await listen();
    } catch (err) {
      if (!isTaken(err)) throw err;
      if (i === 0) onTaken(err.message);
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      await sleep(intervalMs);
    }
  }
  return listen();
}

function isTaken(err: unknown): err is Error {
  return err instanceof Error && (err as NodeJS.ErrnoException).code === 'EADDRINUSE';
}
