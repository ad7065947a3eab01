/** Runs an instance that proxies requests on a platform, with settings from a file. */
import { readFile } from 'node:fs/promises';
import type { Millis } from '../core/clock.js';
import {
  formatSettingsDiagnostic,
  parseSettings,
  type Settings,
} from '../configuration/settings.js';
import type { RequestProtocol, RoutingPlatform } from '../hosts/routing/types.js';
import { createRoutingInstance, type RoutingInstance } from './routingInstance.js';
import { parseAddress } from '../hosts/address.js';

export interface PlatformAdapter {
  readonly protocol: RequestProtocol;
  readonly platform: RoutingPlatform;
}

export interface ServeRoutingOptions {
  readonly settingsFile: string;
  /** Creates the adapter for the platform at a URL, `http://ip:port`. */
  readonly createAdapter: (platformUrl: string) => PlatformAdapter;
  readonly readFileText?: (file: string) => Promise<string>;
}

export interface RoutingDaemon {
  readonly instance: RoutingInstance;
  /** Reloads the settings and applies those that may change at run time. */
  readonly reload: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

/** Interval at which the settings file is checked for changes. */
const SETTINGS_CHECK_INTERVAL_MS: Millis = 2_000;

/** Starts an instance. Rejects if the settings are invalid or a port is in use. */
export async function startRoutingDaemon(options: ServeRoutingOptions): Promise<RoutingDaemon> {
  const { settingsFile } = options;
  const readFileText = options.readFileText ?? (async (file) => readFile(file, 'utf8'));
  let text = await readFileText(settingsFile);
  const settings = parseSettingsText(settingsFile, text);
  const { routing } = settings;
  if (routing === undefined || settings.platform === undefined) {
    throw new Error(`${settingsFile}: the sections 'routing' and 'platform' are required.`);
  }
  const instance = createRoutingInstance({
    ...settings.instance,
    regions: new Map(Object.entries(routing.regions)),
    callers: parseAddress(settings.listen.callers),
    peers: parseAddress(settings.listen.peers),
    operators: parseAddress(settings.listen.operators),
    readiness: parseAddress(routing.readiness),
    readinessPath: routing.readinessPath,
    metricsPath: routing.metricsPath,
    settings: routing.tuning,
    logThreshold: settings.log.level,
    ...options.createAdapter(settings.platform.url),
  });
  await instance.start();

  async function reload(): Promise<void> {
    try {
      const next = await readFileText(settingsFile);
      if (next === text) {
        instance.log.write('info', 'reloaded', { isChanged: false });
        return;
      }
      const { routing: changed } = parseSettingsText(settingsFile, next);
      text = next;
      instance.reload(changed?.tuning ?? {});
      instance.log.write('info', 'reloaded', { isChanged: true });
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      instance.log.write('error', 'reloadFailed', { reason });
    }
  }

  async function reloadIfChanged(): Promise<void> {
    const next = await readFileText(settingsFile).catch(() => text);
    if (next !== text) await reload();
  }

  const timer = setInterval(() => {
    void reloadIfChanged();
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

function parseSettingsText(file: string, text: string): Settings {
  const result = parseSettings(text);
  if (result.kind === 'settings') return result.settings;
  const findings = result.diagnostics.map((found) => formatSettingsDiagnostic(file, found));
  throw new Error(findings.join('\n'));
}
