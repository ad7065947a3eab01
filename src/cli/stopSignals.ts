/** Signal handling of commands that run until they are stopped. */

/**
 * Resolves on the first SIGTERM or SIGINT and then removes its handlers, so that a second signal
 * terminates the process by default.
 */
export async function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    const signals = ['SIGTERM', 'SIGINT'] as const;
    const onSignal = () => {
      signals.forEach((signal) => process.removeListener(signal, onSignal));
      resolve();
    };
    signals.forEach((signal) => process.on(signal, onSignal));
  });
}
