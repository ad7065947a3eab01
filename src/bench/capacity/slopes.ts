/**
 * `npm run slopes`: measures how state, messages, bytes and processor time grow with the size of the
 * fleet and writes docs/slopes.json, from which `npm run capacity` renders docs/CAPACITY.md.
 */
import { writeFileSync } from 'node:fs';
import { readRevision } from '../support/revision.js';
import { fitLine, type Point } from './fit.js';
import { runFleet, type FleetRunResult, type KindLoad } from './fleetRun.js';
import { measurePollBytes } from './pollBytes.js';
import { SLOPES_PATH, type KindSlope, type SlopesFile } from './slopesFile.js';
import { measureStateSlopes } from './stateSlopes.js';
import { createSweep, DOMAIN_SLICE, type Dimension } from './target.js';

const DIMENSIONS: readonly Dimension[] = [
  'waiting',
  'instancesPerDomain',
  'enginesPerInstance',
  'domains',
  'requestsPerInstance',
];

const ZERO_LOAD: KindLoad = { events: 0, bytes: 0, controlMs: 0 };

async function measure(): Promise<SlopesFile> {
  const sweeps = DIMENSIONS.map((dimension) => ({
    dimension,
    runs: createSweep(dimension).map(({ at, size }) => {
      console.log(`${dimension} ${at}`);
      return { at, result: runFleet(size) };
    }),
  }));
  console.log('one failure domain of the target size');
  const slice = runFleet(DOMAIN_SLICE);
  const pollBytes = await measurePollBytes();
  return {
    revision: readRevision(),
    kinds: sweeps.flatMap(({ dimension, runs }) => fitKinds(dimension, runs)),
    totals: sweeps.map(({ dimension, runs }) => ({
      dimension,
      points: runs.map(({ at, result }) => ({
        at,
        bytes: result.mean.bytes,
        largestBytes: result.largest.bytes,
        controlMs: result.mean.controlMs,
      })),
    })),
    state: measureStateSlopes(),
    slice,
    pollBytes,
  };
}

function fitKinds(
  dimension: Dimension,
  runs: readonly { readonly at: number; readonly result: FleetRunResult }[],
): readonly KindSlope[] {
  const kinds = new Set(runs.flatMap(({ result }) => Object.keys(result.kinds)));
  return [...kinds].sort().map((kind) => {
    const line = (of: (load: KindLoad) => number) =>
      fitLine(runs.map(({ at, result }): Point => [at, of(result.kinds[kind] ?? ZERO_LOAD)]));
    return {
      kind,
      dimension,
      events: line((load) => load.events),
      bytes: line((load) => load.bytes),
      controlMs: line((load) => load.controlMs),
    };
  });
}

/** Rounds numbers to four significant digits, to keep the file readable. */
function roundNumber(_: string, value: unknown): unknown {
  return typeof value === 'number' ? Number(value.toPrecision(4)) : value;
}

writeFileSync(SLOPES_PATH, `${JSON.stringify(await measure(), roundNumber, 1)}\n`);
console.log(`wrote ${SLOPES_PATH}`);
