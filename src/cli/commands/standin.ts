/** The `standin` command: runs a stand-in for an engine, a plain service or the platform. */
import { command, number, oneOf, option, optional, positional, string } from 'cmd-ts';
import {
  createEngineStandin,
  createPlatformStandin,
  createServiceStandin,
  parseStandinSettings,
  startStandins,
} from '../../standins/index.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { readText, UNREADABLE_EXIT_CODE } from '../files.js';
import { printDiagnostic, printLine } from '../output.js';
import { waitForStopSignal } from '../stopSignals.js';

const KINDS = ['engine', 'service', 'platform', 'set'] as const;
type Kind = (typeof KINDS)[number];

const options = {
  kind: positional({
    type: oneOf(KINDS),
    displayName: 'KIND',
    description: 'engine, service, platform, or set to start all stand-ins listed in a file',
  }),
  host: option({
    type: string,
    long: 'host',
    defaultValue: () => '127.0.0.1',
    description: 'IP address to listen on',
  }),
  port: option({
    type: number,
    long: 'port',
    short: 'p',
    defaultValue: () => 0,
    description: 'port; 0 selects a free port',
  }),
  file: option({
    type: optional(string),
    long: 'file',
    short: 'f',
    description: 'YAML file that lists the stand-ins of a set',
  }),
};

interface RunningStandins {
  readonly urls: readonly string[];
  readonly stop: () => Promise<void>;
}

export const standin = command({
  name: 'standin',
  description: 'Runs a stand-in until SIGTERM or SIGINT.',
  args: options,
  handler: async ({ kind, host, port, file }): Promise<ExitCode> => {
    const text = file === undefined ? '' : await readText(file);
    if (text === undefined) return UNREADABLE_EXIT_CODE;
    try {
      const running = await start(kind, { host, port }, text);
      running.urls.forEach((url) => printLine(url));
      await waitForStopSignal();
      await running.stop();
      return EXIT_CODES.ok;
    } catch (err) {
      printDiagnostic('cannotStart', { reason: (err as Error).message });
      return EXIT_CODES.failed;
    }
  },
});

async function start(
  kind: Kind,
  listen: { readonly host: string; readonly port: number },
  text: string,
): Promise<RunningStandins> {
  if (kind === 'set') return startSet(text);
  const create = {
    engine: createEngineStandin,
    service: createServiceStandin,
    platform: createPlatformStandin,
  }[kind];
  const { url, stop } = await create(listen);
  return { urls: [url], stop };
}

async function startSet(text: string): Promise<RunningStandins> {
  const set = await startStandins(parseStandinSettings(text));
  const upstreamLines = [...set.engines, ...set.services].map(
    ([name, { url }]) => `${name} ${url}`,
  );
  const platform = set.platform === undefined ? [] : [`platform ${set.platform.url}`];
  return { urls: [...upstreamLines, ...platform], stop: set.stop };
}
