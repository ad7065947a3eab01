/** `standin`: runs a stand-in of an engine, a plain service or the platform, for trials. */
import { command, number, oneOf, option, optional, positional, string } from 'cmd-ts';
import {
  createEngineStandin,
  createPlatformStandin,
  createServiceStandin,
  parseStandinSettings,
  startStandins,
} from '../../standins/index.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { readText, UNREADABLE } from '../files.js';
import { printDiagnostic, printLine } from '../output.js';
import { stopRequested } from '../stopSignals.js';

const KINDS = ['engine', 'service', 'platform', 'set'] as const;
type Kind = (typeof KINDS)[number];

const options = {
  kind: positional({
    type: oneOf(KINDS),
    displayName: 'KIND',
    description: 'engine, service, platform, or set for all that a file lists',
  }),
  host: option({
    type: string,
    long: 'host',
    defaultValue: () => '127.0.0.1',
    description: 'IP number to listen on',
  }),
  port: option({
    type: number,
    long: 'port',
    short: 'p',
    defaultValue: () => 0,
    description: 'port; 0 lets the system choose',
  }),
  file: option({
    type: optional(string),
    long: 'file',
    short: 'f',
    description: 'YAML file of a set',
  }),
};

interface Running {
  readonly urls: readonly string[];
  readonly stop: () => Promise<void>;
}

export const standin = command({
  name: 'standin',
  description: 'Runs a stand-in until it is told to stop.',
  args: options,
  handler: async ({ kind, host, port, file }): Promise<ExitCode> => {
    const text = file === undefined ? '' : await readText(file);
    if (text === undefined) return UNREADABLE;
    try {
      const running = await start(kind, { host, port }, text);
      running.urls.forEach((url) => printLine(url));
      await stopRequested();
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
): Promise<Running> {
  if (kind === 'set') return startSet(text);
  const create = {
    engine: createEngineStandin,
    service: createServiceStandin,
    platform: createPlatformStandin,
  }[kind];
  const { url, stop } = await create(listen);
  return { urls: [url], stop };
}

async function startSet(text: string): Promise<Running> {
  const set = await startStandins(parseStandinSettings(text));
  const all = [...set.engines, ...set.services].map(([name, { url }]) => `${name} ${url}`);
  const platform = set.platform === undefined ? [] : [`platform ${set.platform.url}`];
  return { urls: [...all, ...platform], stop: set.stop };
}
