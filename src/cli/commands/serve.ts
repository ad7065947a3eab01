/** The `serve` command: runs one instance until SIGTERM or SIGINT, then shuts it down gracefully. */
import { dirname, resolve } from 'node:path';
import { command, option, string } from 'cmd-ts';
import type { Settings } from '../../configuration/settings.js';
import type { ConfigurationView } from '../../core/types.js';
import { startDaemon, type Daemon } from '../../daemon/serve.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { checkDocument, checkSettings, readText, UNREADABLE_EXIT_CODE } from '../files.js';
import { printDiagnostic, printError } from '../output.js';
import { waitForStopSignal } from '../stopSignals.js';

const options = {
  settings: option({
    type: string,
    long: 'settings',
    short: 's',
    description: 'YAML file with the settings of the instance',
  }),
};

export const serve = command({
  name: 'serve',
  description:
    'Runs one instance. SIGTERM stops it once accepted requests end; SIGHUP reloads certificates.',
  args: options,
  handler: async ({ settings: file }): Promise<ExitCode> => {
    const text = await readText(file);
    if (text === undefined) return UNREADABLE_EXIT_CODE;
    const checked = checkSettings(file, text);
    if (checked.kind === 'findings') {
      checked.lines.forEach(printError);
      return EXIT_CODES.invalid;
    }
    return runInstance(file, checked.value);
  },
});

async function runInstance(file: string, settings: Settings): Promise<ExitCode> {
  let initialConfiguration: ConfigurationView | undefined;
  if (settings.document !== undefined) {
    const documentFile = resolve(dirname(file), settings.document);
    const text = await readText(documentFile);
    if (text === undefined) return UNREADABLE_EXIT_CODE;
    const checked = checkDocument(documentFile, text);
    if (checked.kind === 'findings') {
      checked.lines.forEach(printError);
      return EXIT_CODES.invalid;
    }
    initialConfiguration = checked.value;
  }
  const daemon = await startOrReport(file, settings, initialConfiguration);
  if (daemon === undefined) return EXIT_CODES.failed;
  process.on('SIGHUP', daemon.reload);
  await waitForStopSignal();
  await daemon.stop();
  process.removeListener('SIGHUP', daemon.reload);
  return EXIT_CODES.ok;
}

async function startOrReport(
  file: string,
  settings: Settings,
  initialConfiguration: ConfigurationView | undefined,
): Promise<Daemon | undefined> {
  try {
    return await startDaemon({ settings, baseDir: dirname(file), initialConfiguration });
  } catch (err) {
    printDiagnostic('cannotStart', { reason: (err as Error).message });
    return undefined;
  }
}
