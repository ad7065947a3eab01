/** Replays the usual load with requests whose prompts hold a part that crashes every engine. */
import {
  createEmulatedFleet,
  type EmulatedFleet,
} from '../../../src/bench/routing/emulatedFleet.js';
import type { FleetObservation, OfferedRequest } from '../../../src/bench/routing/fleetShape.js';
import { drawRequests, FLEET_SHAPE, LOAD_PATTERNS } from '../../../src/bench/routing/patterns.js';
import { createSimulation, type Simulation } from '../../../src/bench/routing/simulation.js';
import { createRandom } from '../../../src/core/random.js';

/** Time after the fifth crash from which hardly any deadly request may reach engines. */
export const CONTACT_MS = 4_000;
const WARM_UP_MS = 3_000;
const DRAIN_MS = 3_000;
const DEADLY_PART = 'deadly';

export interface DeadlyPartOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Times between which deadly requests arrive and engines crash on them. */
  readonly from: number;
  readonly until: number;
  /** Share of the drafts that hold the deadly part. */
  readonly share: number;
  /** Level of the shared part that is replaced by the deadly one. */
  readonly level?: number;
  /** Whether callers go on to send the part after engines no longer crash on it. */
  readonly isMended?: boolean;
  readonly disturb?: (simulation: Simulation, fleet: EmulatedFleet) => void;
}

export interface DeadlyPartRun {
  readonly observations: readonly FleetObservation[];
  readonly crashedAt: readonly number[];
  readonly isDeadly: (request: OfferedRequest) => boolean;
}

export function runWithDeadlyPart(options: DeadlyPartOptions): DeadlyPartRun {
  const { seed, durationMs, share, level = 1 } = options;
  const simulation = createSimulation();
  const observations: FleetObservation[] = [];
  const fleet = createEmulatedFleet({
    simulation,
    shape: FLEET_SHAPE,
    seed,
    isDeadly: ({ id }, now) => id === DEADLY_PART && now < options.until,
    observe: (observation) => observations.push(observation),
  });
  const random = createRandom(seed + 1);
  const [usual] = LOAD_PATTERNS;
  if (usual === undefined) throw new Error('there is no load pattern');
  drawRequests(usual, durationMs, seed).forEach((request) => {
    const at = request.at + WARM_UP_MS;
    const isChosen = request.route.name === 'draft' && random.next() < share;
    const isTime = at >= options.from && (at < options.until || options.isMended === true);
    const parts = request.parts.map((part, i) =>
      isChosen && isTime && i === level ? { ...part, id: DEADLY_PART } : part,
    );
    fleet.offer({ ...request, at, parts });
  });
  options.disturb?.(simulation, fleet);
  simulation.runUntil(WARM_UP_MS + durationMs + DRAIN_MS);
  return {
    observations,
    crashedAt: observations.flatMap(({ kind, at }) => (kind === 'engineCrashed' ? [at] : [])),
    isDeadly: ({ parts }) => parts.some(({ id }) => id === DEADLY_PART),
  };
}

/** Counts the deadly requests that reached engines from a time on. */
export function deadlyArrivals({ observations, isDeadly }: DeadlyPartRun, from: number): number {
  return observations.filter(
    (seen) => seen.kind === 'reachedEngine' && seen.at > from && isDeadly(seen.offered),
  ).length;
}

/** Counts the sound requests that were refused as if they crashed engines. */
export function countWronglyRefused({ observations, isDeadly }: DeadlyPartRun): number {
  return observations.filter(
    (seen) =>
      seen.kind === 'refused' && seen.reason === 'crashesUpstreams' && !isDeadly(seen.offered),
  ).length;
}

/** Fraction of the sound drafts that began rather than being refused, between two times. */
export function soundDraftsBegun(
  { observations, isDeadly }: DeadlyPartRun,
  from: number,
  until: number,
): number {
  const decided = observations.filter(
    (seen) =>
      (seen.kind === 'begun' || seen.kind === 'refused') &&
      seen.at >= from &&
      seen.at < until &&
      seen.offered.route.name === 'draft' &&
      !isDeadly(seen.offered),
  );
  return decided.filter(({ kind }) => kind === 'begun').length / Math.max(1, decided.length);
}
