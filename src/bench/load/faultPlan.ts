/**
 * Draws a schedule of faults from a seed: kills, pauses and planned stops of instances, and faults
 * of every stand-in. Several may be under way at a time, but one target has one fault at a time, and
 * all have ended some time before the load does.
 */
import type { Millis } from '../../core/clock.js';
import { MS_PER_SECOND } from '../../core/clock.js';
import { createRandom, type Random } from '../../core/random.js';
import type { FaultFile, ScheduledFault } from './faultSchedule.js';

export interface FaultPlanOptions {
  readonly seed: number;
  readonly durationMs: Millis;
  /** Mean number of faults that start in a second. */
  readonly faultsPerSecond?: number;
  /** Instances that may be down or paused at a time. */
  readonly maxInstancesDown?: number;
  /** Names of processes. */
  readonly instances: readonly string[];
  /** Names of stand-ins. */
  readonly engines: readonly string[];
  readonly services: readonly string[];
  readonly hasPlatform: boolean;
}

const DEFAULTS = { faultsPerSecond: 0.5, maxInstancesDown: 1 } as const;

/** Part of the load, at its end, in which no fault is under way. */
const QUIET_SHARE = 0.15;
const MIN_SPAN_MS: Millis = 500;
const MAX_SPAN_MS: Millis = 6_000;
/** Time that a killed or stopped instance has to be started again and to join. */
const RECOVERY_MS: Millis = 5_000;
/** Share of requests that a fault with a rate hits. */
const FAULT_RATE = 0.05;
const LATE_MS: Millis = 800;
const SLOW_FACTOR = 4;
const SLOW_PLATFORM_MS: Millis = 400;

type TargetKind = 'instance' | 'engine' | 'service' | 'platform';

interface Target {
  readonly kind: TargetKind;
  readonly name: string;
}

type StandinBody = Extract<ScheduledFault, { standin: string }>['fault'];

/** Faults of stand-ins that last until they are cleared. */
const LASTING_FAULTS: Readonly<Record<Exclude<TargetKind, 'instance'>, readonly StandinBody[]>> = {
  engine: [
    { kind: 'hang' },
    { kind: 'slow', factor: SLOW_FACTOR },
    { kind: 'crossed', rate: FAULT_RATE },
    { kind: 'crossed', rate: FAULT_RATE, at: 'middle' },
    { kind: 'late', rate: FAULT_RATE, delayMs: LATE_MS },
    { kind: 'cut', rate: FAULT_RATE },
    { kind: 'cut', rate: FAULT_RATE, ending: 'close' },
  ],
  service: [
    { kind: 'hang' },
    { kind: 'slow', factor: SLOW_FACTOR },
    { kind: 'lost-reply', rate: FAULT_RATE },
    { kind: 'refuse', rate: FAULT_RATE },
    { kind: 'late', rate: FAULT_RATE, delayMs: LATE_MS },
  ],
  platform: [
    { kind: 'outage', mode: 'refuse' },
    { kind: 'outage', mode: 'hang' },
    { kind: 'outage', mode: 'refuse', parts: ['list'] },
    { kind: 'lost-reply', rate: FAULT_RATE * 4 },
    { kind: 'slow', delayMs: SLOW_PLATFORM_MS },
  ],
};

/** Creates the schedule; the same options give the same one. */
export function createFaultPlan(options: FaultPlanOptions): FaultFile {
  const cfg = { ...DEFAULTS, ...options };
  const random = createRandom(cfg.seed);
  const endMs = cfg.durationMs * (1 - QUIET_SHARE);
  const busyUntil = new Map<string, Millis>();
  const faults: ScheduledFault[] = [];
  const gap = () => (-Math.log(1 - random.next()) * MS_PER_SECOND) / cfg.faultsPerSecond;

  function isFree({ kind, name }: Target, atMs: Millis): boolean {
    if ((busyUntil.get(name) ?? 0) > atMs) return false;
    if (kind !== 'instance') return true;
    const down = cfg.instances.filter((other) => (busyUntil.get(other) ?? 0) > atMs);
    return down.length < cfg.maxInstancesDown;
  }

  for (let atMs = gap(); atMs < endMs; atMs += gap()) {
    const target = pickTarget(random, cfg);
    const spanMs = MIN_SPAN_MS + random.next() * (MAX_SPAN_MS - MIN_SPAN_MS);
    if (target === undefined || !isFree(target, atMs) || atMs + spanMs > endMs) continue;
    const isInstance = target.kind === 'instance';
    busyUntil.set(target.name, atMs + spanMs + (isInstance ? RECOVERY_MS : 0));
    faults.push(...drawFault(random, target, Math.round(atMs), Math.round(spanMs)));
  }
  return { faults: faults.sort((a, b) => a.atMs - b.atMs) };
}

function pickTarget(random: Random, options: FaultPlanOptions): Target | undefined {
  const targets: Target[] = [
    ...options.instances.map((name) => ({ kind: 'instance', name }) as const),
    ...options.engines.map((name) => ({ kind: 'engine', name }) as const),
    ...options.services.map((name) => ({ kind: 'service', name }) as const),
    ...(options.hasPlatform ? [{ kind: 'platform', name: 'platform' } as const] : []),
  ];
  const kinds = [...new Set(targets.map(({ kind }) => kind))];
  const kind = pick(random, kinds);
  return pick(
    random,
    targets.filter((target) => target.kind === kind),
  );
}

function pick<T>(random: Random, list: readonly T[]): T | undefined {
  return list[random.nextInt(list.length)];
}

function drawFault(
  random: Random,
  { kind, name }: Target,
  atMs: Millis,
  spanMs: Millis,
): readonly ScheduledFault[] {
  if (kind === 'instance') return drawInstanceFault(random, name, atMs, spanMs);
  const once: readonly StandinBody[] =
    kind === 'platform'
      ? [{ kind: 'silent' }]
      : [{ kind: 'silent' }, { kind: 'crash', restartAfterMs: spanMs }];
  const lasting = LASTING_FAULTS[kind];
  const index = random.nextInt(once.length + lasting.length);
  const single = once[index];
  if (single !== undefined) return [{ atMs, standin: name, fault: single }];
  const fault = lasting[index - once.length] as StandinBody;
  return [
    { atMs, standin: name, fault },
    { atMs: atMs + spanMs, standin: name, fault: { kind: 'clear' } },
  ];
}

function drawInstanceFault(
  random: Random,
  process: string,
  atMs: Millis,
  spanMs: Millis,
): readonly ScheduledFault[] {
  switch (pick(random, ['kill', 'stop', 'pause'] as const)) {
    case 'kill':
      return [{ atMs, process, signal: 'SIGKILL' }];
    case 'stop':
      return [{ atMs, process, signal: 'SIGTERM' }];
    default:
      return [
        { atMs, process, signal: 'SIGSTOP' },
        { atMs: atMs + spanMs, process, signal: 'SIGCONT' },
      ];
  }
}
