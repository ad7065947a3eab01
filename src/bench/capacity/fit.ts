/** Fits straight lines to measured points by least squares. */

/** A measured point. */
export type Point = readonly [x: number, y: number];

export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square of the residuals, relative to the largest absolute y value. */
  readonly residual: number;
}

export function fitLine(points: readonly Point[]): Line {
  const n = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const squares = points.reduce((sum, [x, y]) => sum + (y - intercept - slope * x) ** 2, 0);
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE);
  return { slope, intercept, residual: Math.sqrt(squares / n) / largest };
}

/** Returns the y value of a line at `x`, or 0 if it is negative. */
export function valueAt(line: Line, x: number): number {
  return Math.max(0, line.intercept + line.slope * x);
}
