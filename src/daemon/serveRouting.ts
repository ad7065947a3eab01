/** Runs one instance that passes requests through, as its settings say. */
import { readFile } from 'node:fs/promises';
import type { Millis } from '../core/clock.js';
import {
  formatSettingsDiagnostic,
  parseSettings,
  type Settings,
} from '../configuration/settings.js';
import type { RequestProtocol, RoutingPlatform } from '../hosts/routing/types.js';
import { createRoutingInstance, type RoutingInstance } from './routingInstance.js';
import { splitAddress } from '../hosts/address.js';

export interface PlatformAdapter {
  readonly protocol: RequestProtocol;
  readonly platform: RoutingPlatform;
}

export interface ServeRoutingOptions {
  readonly settingsFile: string;
  /** Creates the adapter of the platform at an address, `http://ip:port`. */
  readonly createAdapter: (platformUrl: string) => PlatformAdapter;
  readonly readText?: (file: string) => Promise<string>;
}

export interface RoutingDaemon {
  readonly instance: RoutingInstance;
  /** Reads the settings again and takes those that may change while the instance runs. */
  readonly reload: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

/** Interval at which the settings file is compared with what was read last. */
const SETTINGS_CHECK_INTERVAL_MS: Millis = 2_000;

/** Starts an instance. Rejects if the settings are invalid or a port is taken. */
export async function startRoutingDaemon(options: ServeRoutingOptions): Promise<RoutingDaemon> {
  const { settingsFile } = options;
  const readText = options.readText ?? (async (file) => readFile(file, 'utf8'));
  let text = await readText(settingsFile);
  const settings = readSettings(settingsFile, text);
  const { routing } = settings;
  if (routing === undefined || settings.platform === undefined) {
    throw new Error(`${settingsFile} has no sections 'routing' and 'platform'.`);
  }
  const instance = createRoutingInstance({
    ...settings.instance,
    regions: new Map(Object.entries(routing.regions)),
    callers: splitAddress(settings.listen.callers),
    peers: splitAddress(settings.listen.peers),
    operators: splitAddress(settings.listen.operators),
    readiness: splitAddress(routing.readiness),
    readinessPath: routing.readinessPath,
    metricsPath: routing.metricsPath,
    settings: routing.tuning,
    logThreshold: settings.log.level,
    ...options.createAdapter(settings.platform.url),
  });
  await instance.start();

  async function reload(): Promise<void> {
    try {
      const next = await readText(settingsFile);
      if (next === text) {
        instance.log.write('info', 'reloaded', { isChanged: false });
        return;
      }
      const { routing: changed } = readSettings(settingsFile, next);
      text = next;
      instance.reload(changed?.tuning ?? {});
      instance.log.write('info', 'reloaded', { isChanged: true });
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      instance.log.write('error', 'reloadFailed', { reason });
    }
  }

  async function checkFile(): Promise<void> {
    const next = await readText(settingsFile).catch(() => text);
    if (next !== text) await reload();
  }

  const timer = setInterval(() => {
    void checkFile();
  }, SETTINGS_CHECK_INTERVAL_MS);
  timer.unref();
  return {
    instance,
    reload,
    stop: async () => {
      clearInterval(timer);
      await instance.stop();
    },
  };
}

function readSettings(file: string, text: string): Settings {
  const result = parseSettings(text);
  if (result.kind === 'settings') return result.settings;
  const findings = result.diagnostics.map((found) => formatSettingsDiagnostic(file, found));
  throw new Error(findings.join('\n'));
}
