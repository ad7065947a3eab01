/**
 * Generates a random fault schedule from a seed: kills, pauses and planned stops of instances, and
 * faults of all stand-ins. Faults of different targets may overlap, but a target has at most one
 * fault at a time. All faults end before the fault-free last part of the load.
 */
import type { Millis } from '../../core/clock.js';
import { MS_PER_SECOND } from '../../core/clock.js';
import { createRandom, type Random } from '../../core/random.js';
import type { FaultFile, ScheduledFault } from './faultSchedule.js';

export interface FaultPlanOptions {
  readonly seed: number;
  readonly durationMs: Millis;
  /** Mean number of faults that start per second. */
  readonly faultsPerSecond?: number;
  /** Maximum number of instances that are down or paused at the same time. */
  readonly maxInstancesDown?: number;
  /** Process names. */
  readonly instances: readonly string[];
  /** Stand-in names. */
  readonly engines: readonly string[];
  readonly services: readonly string[];
  readonly hasPlatform: boolean;
}

const DEFAULTS = { faultsPerSecond: 0.5, maxInstancesDown: 1 } as const;

/** Fraction of the duration, at its end, that is free of faults. */
const FAULT_FREE_SHARE = 0.15;
const MIN_SPAN_MS: Millis = 500;
const MAX_SPAN_MS: Millis = 6_000;
/** Time allowed for a killed or stopped instance to restart and to rejoin the fleet. */
const RECOVERY_MS: Millis = 5_000;
/** Fraction of requests affected by a fault that has a rate. */
const FAULT_RATE = 0.05;
const LATE_DELAY_MS: Millis = 800;
const SLOW_FACTOR = 4;
const PLATFORM_DELAY_MS: Millis = 400;

type TargetKind = 'instance' | 'engine' | 'service' | 'platform';

interface Target {
  readonly kind: TargetKind;
  readonly name: string;
}

type StandinFault = Extract<ScheduledFault, { standin: string }>['fault'];

/** Stand-in faults that stay active until they are cleared. */
const LASTING_FAULTS: Readonly<Record<Exclude<TargetKind, 'instance'>, readonly StandinFault[]>> = {
  engine: [
    { kind: 'hang' },
    { kind: 'slow', factor: SLOW_FACTOR },
    { kind: 'crossed', rate: FAULT_RATE },
    { kind: 'crossed', rate: FAULT_RATE, at: 'middle' },
    { kind: 'late', rate: FAULT_RATE, delayMs: LATE_DELAY_MS },
    { kind: 'cut', rate: FAULT_RATE },
    { kind: 'cut', rate: FAULT_RATE, ending: 'close' },
  ],
  service: [
    { kind: 'hang' },
    { kind: 'slow', factor: SLOW_FACTOR },
    { kind: 'lost-reply', rate: FAULT_RATE },
    { kind: 'refuse', rate: FAULT_RATE },
    { kind: 'late', rate: FAULT_RATE, delayMs: LATE_DELAY_MS },
  ],
  platform: [
    { kind: 'outage', mode: 'refuse' },
    { kind: 'outage', mode: 'hang' },
    { kind: 'outage', mode: 'refuse', parts: ['list'] },
    { kind: 'lost-reply', rate: FAULT_RATE * 4 },
    { kind: 'slow', delayMs: PLATFORM_DELAY_MS },
  ],
};

/** Creates the schedule. It is deterministic: equal options yield equal schedules. */
export function createFaultPlan(options: FaultPlanOptions): FaultFile {
  const cfg = { ...DEFAULTS, ...options };
  const random = createRandom(cfg.seed);
  const endMs = cfg.durationMs * (1 - FAULT_FREE_SHARE);
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
  const oneShotFaults: readonly StandinFault[] =
    kind === 'platform'
      ? [{ kind: 'silent' }]
      : [{ kind: 'silent' }, { kind: 'crash', restartAfterMs: spanMs }];
  const lastingFaults = LASTING_FAULTS[kind];
  const index = random.nextInt(oneShotFaults.length + lastingFaults.length);
  const oneShot = oneShotFaults[index];
  if (oneShot !== undefined) return [{ atMs, standin: name, fault: oneShot }];
  const fault = lastingFaults[index - oneShotFaults.length] as StandinFault;
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
