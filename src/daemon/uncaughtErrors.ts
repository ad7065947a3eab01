/**
 * Keeps errors that nothing has caught from ending all requests of an instance. The core changes its
 * state only within the loop, which catches its own errors, and its time limits end every request; so
 * the state that such an error leaves behind is that of a connection or of one call.
 */
import type { RoutingLog } from '../hosts/routing/routingLog.js';

/** The part of `process` that tells of uncaught errors. */
export interface UncaughtErrorSource {
  readonly on: (
    event: 'uncaughtException',
    listener: (err: unknown, origin: string) => void,
  ) => unknown;
}

/** Logs each uncaught error and each unhandled rejection from now on. */
export function logUncaughtErrors(
  source: UncaughtErrorSource,
  log: Pick<RoutingLog, 'write'>,
): void {
  source.on('uncaughtException', (err, origin) => {
    const reason = err instanceof Error ? (err.stack ?? err.message) : String(err);
    log.write('error', 'uncaughtError', { origin, reason });
  });
}
