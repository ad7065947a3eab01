/** The file of measured slopes. */
import type { Line } from './fit.js';
import type { FleetRunResult } from './fleetRun.js';
import type { StateSlope } from './stateSlopes.js';
import type { Dimension } from './target.js';

/** A kind of message or timer over one dimension. */
export interface KindSlope {
  readonly kind: string;
  readonly dimension: Dimension;
  readonly events: Line;
  readonly bytes: Line;
  readonly controlMs: Line;
}

export interface SlopesFile {
  readonly revision: string;
  readonly kinds: readonly KindSlope[];
  readonly totals: readonly {
    readonly dimension: Dimension;
    readonly points: readonly {
      readonly at: number;
      readonly bytes: number;
      readonly largestBytes: number;
      readonly controlMs: number;
    }[];
  }[];
  readonly state: readonly StateSlope[];
  readonly slice: FleetRunResult;
  /** Bytes of one reading of an engine's load and cache events, both ways. */
  readonly pollBytes: number;
}

export const SLOPES_PATH = 'docs/slopes.json';
