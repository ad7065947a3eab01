/**
 * Signals to a process, taken from its first moment on. A signal without a handler ends the process, so
 * that one that arrives while an instance starts would end it, whatever the signal means.
 */

export interface ProcessSignals {
  /** Calls `action` for each request to reload the settings; at once if one arrived before. */
  readonly onReload: (action: () => void) => void;
  /** Resolves on the first request to stop, also if it arrived before. */
  readonly untilStop: () => Promise<void>;
}

/**
 * Installs the handlers: SIGHUP reloads, SIGTERM and SIGINT stop. Further SIGTERMs change nothing, as a stop is
 * under way and requests still run; a SIGINT after the first stop signal, which a person sends at a
 * terminal, terminates the process by default.
 */
export function captureSignals(): ProcessSignals {
  let reload: (() => void) | undefined;
  let isReloadPending = false;
  const stop = new Promise<void>((resolve) => {
    const onStop = () => {
      process.removeListener('SIGINT', onStop);
      resolve();
    };
    process.on('SIGTERM', onStop);
    process.on('SIGINT', onStop);
  });
  process.on('SIGHUP', () => {
    if (reload === undefined) isReloadPending = true;
    else reload();
  });
  return {
    onReload: (action) => {
      reload = action;
      if (isReloadPending) action();
      isReloadPending = false;
    },
    untilStop: async () => stop,
  };
}
