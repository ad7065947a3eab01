/** Generates the fault schedule of a run from its seed. */
import { createRandom, type Random } from '../../src/core/random.js';
import type { EngineFault } from '../../src/standins/platform/batchEngine.js';
import type { StoreFault } from '../../src/standins/platform/logStore.js';
import type { LinkFault } from './link.js';

export type SoakFault =
  | { readonly kind: 'kill' | 'stop' | 'hup'; readonly instance: number }
  /** Kills an instance, and sends a SIGHUP to its next process as soon as that takes signals. */
  | { readonly kind: 'hupAtStart'; readonly instance: number }
  | { readonly kind: 'pause'; readonly instance: number; readonly forMs: number }
  | { readonly kind: 'store'; readonly fault: StoreFault; readonly forMs: number }
  | { readonly kind: 'dropHistory' }
  /** The store comes back from a copy that is `ageMs` old, after a moment in which it is away. */
  | { readonly kind: 'restore'; readonly ageMs: number }
  /** An engine states a rate limit for a while. */
  | {
      readonly kind: 'rateLimit';
      readonly engine: number;
      readonly perSecond: number;
      readonly forMs: number;
    }
  /** An engine says in its answers that it leaves, and starts again later; the list does not tell. */
  | { readonly kind: 'leave'; readonly engine: number; readonly forMs: number }
  | {
      readonly kind: 'storeLink';
      readonly instance: number;
      readonly fault: LinkFault;
      readonly forMs: number;
    }
  | {
      readonly kind: 'engineLink';
      readonly engine: number;
      readonly fault: LinkFault;
      readonly forMs: number;
    }
  | { readonly kind: 'engine'; readonly engine: number; readonly fault: EngineFault }
  | { readonly kind: 'crashEngine'; readonly engine: number }
  | { readonly kind: 'configure' }
  | { readonly kind: 'revoke' };

export interface PlannedFault {
  readonly atMs: number;
  readonly fault: SoakFault;
}

export interface PlanOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly instances: number;
  readonly engines: number;
  /** Mean time between consecutive faults. */
  readonly meanIntervalMs: number;
}

const LINK_FAULTS: readonly LinkFault[] = [
  { kind: 'silent' },
  { kind: 'oneWay' },
  { kind: 'reset' },
  { kind: 'slow', delayMs: 300 },
];
const STORE_FAULTS: readonly StoreFault[] = [
  { kind: 'refuse', status: 503 },
  { kind: 'refuse', status: 429 },
  { kind: 'reset' },
  { kind: 'silent' },
  { kind: 'slow', delayMs: 700 },
  { kind: 'lost' },
];
const ENGINE_FAULTS: readonly EngineFault[] = [
  { kind: 'shed' },
  { kind: 'shed', retryAfter: '1.5' },
  { kind: 'error' },
  { kind: 'hang' },
  { kind: 'reset' },
  { kind: 'breakOff', afterEvents: 2 },
  { kind: 'foreign' },
  { kind: 'extra' },
  { kind: 'unframed', isReset: true },
  { kind: 'unfinished' },
  { kind: 'unframedWhole' },
  { kind: 'endless' },
  { kind: 'heldError' },
];
const MAX_FAULT_MS = 6_000;

/** Generates the faults of a run, ordered by time. */
export function planFaults(options: PlanOptions): readonly PlannedFault[] {
  const random = createRandom(options.seed);
  const planned: PlannedFault[] = [];
  let atMs = 0;
  for (;;) {
    atMs += options.meanIntervalMs * 2 * random.next();
    if (atMs >= options.durationMs) return planned;
    planned.push({ atMs, fault: drawFault(random, options) });
  }
}

function drawFault(random: Random, { instances, engines }: PlanOptions): SoakFault {
  const randomInt = (limit: number) => Math.floor(random.next() * limit);
  const pick = <T>(from: readonly T[]): T => from[randomInt(from.length)] as T;
  const instance = randomInt(instances);
  const engine = randomInt(engines);
  const forMs = 500 + randomInt(MAX_FAULT_MS - 500);
  switch (randomInt(16)) {
    case 0:
      return { kind: 'kill', instance };
    case 1:
      return { kind: 'stop', instance };
    case 2:
      return { kind: 'hup', instance };
    case 3:
      return { kind: 'pause', instance, forMs };
    case 4:
      return { kind: 'store', fault: pick(STORE_FAULTS), forMs };
    case 5:
      return { kind: 'dropHistory' };
    case 6:
      return { kind: 'storeLink', instance, fault: pick(LINK_FAULTS), forMs };
    case 7:
      return { kind: 'engineLink', engine, fault: pick(LINK_FAULTS), forMs };
    case 8:
      return { kind: 'crashEngine', engine };
    case 9:
      return { kind: 'configure' };
    case 10:
      return { kind: 'revoke' };
    case 11:
      return { kind: 'restore', ageMs: forMs };
    case 12:
      return { kind: 'rateLimit', engine, perSecond: 4 * random.next(), forMs };
    case 14:
      return { kind: 'hupAtStart', instance };
    case 13:
      return { kind: 'leave', engine, forMs: forMs + MAX_FAULT_MS };
    default:
      return { kind: 'engine', engine, fault: pick(ENGINE_FAULTS) };
  }
}
