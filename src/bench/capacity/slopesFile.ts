/** The format of docs/slopes.json. */
import type { Line } from './fit.js';
import type { FleetRunResult } from './fleetRun.js';
import type { StateSlope } from './stateSlopes.js';
import type { Dimension } from './target.js';

/** Load from one kind of message or timer over one dimension. */
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
  /** Bytes sent and received for one poll of an engine's load and cache events. */
  readonly pollBytes: number;
}

export const SLOPES_PATH = 'docs/slopes.json';
