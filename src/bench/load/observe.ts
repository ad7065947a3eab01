/**
 * Reads metrics from other processes during a load: upstream utilisation from the control endpoints
 * of the stand-ins, and control bytes from the status endpoint of the instances.
 */
import { request } from 'undici';
import type { Millis } from '../../core/clock.js';
import { MS_PER_SECOND } from '../../core/clock.js';

const READ_TIMEOUT_MS: Millis = 2_000;

/** Bytes of control traffic between instances, by class of link. */
export interface ControlBytes {
  readonly sameDomain: number;
  readonly sameRegion: number;
  readonly crossRegion: number;
}

interface UpstreamStats {
  readonly slots: number;
  readonly busySlotMs: Millis;
  readonly elapsedMs: Millis;
  readonly tokens?: number;
}

/** Utilisation of one upstream over an interval. */
export interface UpstreamUtilisation {
  readonly name: string;
  readonly pool: string;
  /** Fraction of the slot time that was busy, from 0 to 1. */
  readonly utilisation: number;
  readonly tokensPerSecond: number;
}

/** Fetches JSON. Returns `undefined` on an error, a timeout or a status other than 200. */
export async function fetchJson<T>(
  url: string,
  timeoutMs = READ_TIMEOUT_MS,
): Promise<T | undefined> {
  try {
    const signal = AbortSignal.timeout(timeoutMs);
    const { statusCode, body } = await request(url, { signal });
    if (statusCode === 200) return (await body.json()) as T;
    await body.dump();
    return undefined;
  } catch {
    return undefined;
  }
}

/** Returns the status code of a response, or `undefined` on an error or a timeout. */
export async function fetchStatusCode(url: string): Promise<number | undefined> {
  try {
    const { statusCode, body } = await request(url, {
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    await body.dump();
    return statusCode;
  } catch {
    return undefined;
  }
}

export interface UpstreamTarget {
  readonly name: string;
  readonly pool: string;
  readonly url: string;
}

export interface UtilisationMeter {
  /** Utilisation since the last call. */
  sample: () => Promise<readonly UpstreamUtilisation[]>;
  /** Utilisation since the creation of the meter. */
  total: () => Promise<readonly UpstreamUtilisation[]>;
}

/** Creates a meter and reads the initial counters. */
export async function createUtilisationMeter(
  targets: readonly UpstreamTarget[],
): Promise<UtilisationMeter> {
  const readAll = async () =>
    Promise.all(targets.map(async ({ url }) => fetchJson<UpstreamStats>(`${url}/_control/stats`)));
  const start = await readAll();
  let before = start;

  function utilisationSince(
    earlier: readonly (UpstreamStats | undefined)[],
    later: readonly (UpstreamStats | undefined)[],
  ): UpstreamUtilisation[] {
    return targets.flatMap(({ name, pool }, i) => {
      const [from, to] = [earlier[i], later[i]];
      if (from === undefined || to === undefined) return [];
      const elapsed = to.elapsedMs - from.elapsedMs;
      if (elapsed <= 0) return [];
      const utilisation = (to.busySlotMs - from.busySlotMs) / (elapsed * to.slots);
      const tokens = (to.tokens ?? 0) - (from.tokens ?? 0);
      return [{ name, pool, utilisation, tokensPerSecond: (tokens * MS_PER_SECOND) / elapsed }];
    });
  }

  return {
    sample: async () => {
      const stats = await readAll();
      const utilisation = utilisationSince(before, stats);
      // If an upstream could not be read, its next sample is computed from its last known counters.
      before = stats.map((entry, i) => entry ?? before[i]);
      return utilisation;
    },
    total: async () => utilisationSince(start, await readAll()),
  };
}

export const NO_BYTES: ControlBytes = { sameDomain: 0, sameRegion: 0, crossRegion: 0 };

export function addBytes(a: ControlBytes, b: ControlBytes): ControlBytes {
  return {
    sameDomain: a.sameDomain + b.sameDomain,
    sameRegion: a.sameRegion + b.sameRegion,
    crossRegion: a.crossRegion + b.crossRegion,
  };
}

export interface ControlByteMeter {
  /** Control bytes of all instances since the last call. */
  sample: () => Promise<ControlBytes>;
}

/** Creates a meter that reads the status URLs of the instances. */
export async function createControlByteMeter(
  statusUrls: readonly string[],
): Promise<ControlByteMeter> {
  const before = new Map<string, ControlBytes>();

  /** Returns the bytes since the last reading. A counter that decreased was reset by a restart. */
  async function readOne(url: string): Promise<ControlBytes> {
    const status = await fetchJson<{ readonly controlBytes?: ControlBytes }>(url);
    const bytes = status?.controlBytes;
    if (bytes === undefined) return NO_BYTES;
    const last = before.get(url) ?? NO_BYTES;
    before.set(url, bytes);
    const increase = (now: number, then: number) => (now >= then ? now - then : now);
    return {
      sameDomain: increase(bytes.sameDomain, last.sameDomain),
      sameRegion: increase(bytes.sameRegion, last.sameRegion),
      crossRegion: increase(bytes.crossRegion, last.crossRegion),
    };
  }

  const sample = async () =>
    (await Promise.all(statusUrls.map(readOne))).reduce(addBytes, NO_BYTES);
  await sample();
  return { sample };
}
