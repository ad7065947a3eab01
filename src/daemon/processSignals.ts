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

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Installs the handlers: SIGHUP reloads, SIGTERM and SIGINT stop. After the first stop signal a second one
 * terminates the process by default.
 */
export function captureSignals(): ProcessSignals {
  let reload: (() => void) | undefined;
  let isReloadPending = false;
  const stop = new Promise<void>((resolve) => {
    const onStop = () => {
      STOP_SIGNALS.forEach((signal) => process.removeListener(signal, onStop));
      resolve();
    };
    STOP_SIGNALS.forEach((signal) => process.on(signal, onStop));
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
