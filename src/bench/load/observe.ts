/**
 * What the load tool reads from others while it runs: use of upstreams from the control paths of
 * the stand-ins, and control bytes from the status of the instances.
 */
import { request } from 'undici';
import type { Millis } from '../../core/clock.js';
import { MS_PER_SECOND } from '../../core/clock.js';

const READ_TIMEOUT_MS: Millis = 2_000;

/** Control bytes by the class of the link. */
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

/** Use of one upstream over a span of time. */
export interface UpstreamUse {
  readonly name: string;
  readonly pool: string;
  /** Share of the slot time that was taken, from 0 to 1. */
  readonly utilisation: number;
  readonly tokensPerSecond: number;
}

/** Reads JSON; `undefined` if it can't be had. */
export async function readFrom<T>(
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

/** The status of an answer; `undefined` if there was none in time. */
export async function readStatusOf(url: string): Promise<number | undefined> {
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

export interface UseMeter {
  /** Use since the last call. */
  sample: () => Promise<readonly UpstreamUse[]>;
  /** Use since the meter was created. */
  total: () => Promise<readonly UpstreamUse[]>;
}

/** Creates a meter; reads the counts that later ones are compared with. */
export async function createUseMeter(targets: readonly UpstreamTarget[]): Promise<UseMeter> {
  const readAll = async () =>
    Promise.all(targets.map(async ({ url }) => readFrom<UpstreamStats>(`${url}/_control/stats`)));
  const start = await readAll();
  let before = start;

  function useSince(
    earlier: readonly (UpstreamStats | undefined)[],
    later: readonly (UpstreamStats | undefined)[],
  ): UpstreamUse[] {
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
      const use = useSince(before, stats);
      // An upstream that could not be read is compared with its last known counts.
      before = stats.map((entry, i) => entry ?? before[i]);
      return use;
    },
    total: async () => useSince(start, await readAll()),
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

export interface ByteMeter {
  /** Control bytes of all instances since the last call. */
  sample: () => Promise<ControlBytes>;
}

/** Creates a meter over the status URLs of the instances. */
export async function createByteMeter(statusUrls: readonly string[]): Promise<ByteMeter> {
  const before = new Map<string, ControlBytes>();

  /** Bytes since the last reading; an instance that restarted counts from zero again. */
  async function readOne(url: string): Promise<ControlBytes> {
    const status = await readFrom<{ readonly controlBytes?: ControlBytes }>(url);
    const bytes = status?.controlBytes;
    if (bytes === undefined) return NO_BYTES;
    const last = before.get(url) ?? NO_BYTES;
    before.set(url, bytes);
    const since = (now: number, then: number) => (now >= then ? now - then : now);
    return {
      sameDomain: since(bytes.sameDomain, last.sameDomain),
      sameRegion: since(bytes.sameRegion, last.sameRegion),
      crossRegion: since(bytes.crossRegion, last.crossRegion),
    };
  }

  const sample = async () =>
    (await Promise.all(statusUrls.map(readOne))).reduce(addBytes, NO_BYTES);
  await sample();
  return { sample };
}
