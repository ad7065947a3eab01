/** Signals that end a command that stays up. */

/** Resolves at the first SIGTERM or SIGINT; a second one then ends the process as usual. */
export async function stopRequested(): Promise<void> {
  return new Promise((resolve) => {
    const signals = ['SIGTERM', 'SIGINT'] as const;
    const settle = () => {
      signals.forEach((signal) => process.removeListener(signal, settle));
      resolve();
    };
    signals.forEach((signal) => process.on(signal, settle));
  });
}
