/** Times short operations: a warm-up, then several rounds of which the median is taken. */
import { performance } from 'node:perf_hooks';

export interface TimingOptions {
  readonly warmUpMs?: number;
  readonly roundMs?: number;
  readonly rounds?: number;
}

const NS_PER_MS = 1e6;

/**
 * Runs `operation` repeatedly and returns the median time of one unit of work in nanoseconds.
 * `operation` returns the number of units it did.
 */
export function timeOperation(operation: () => number, options: TimingOptions = {}): number {
  const { warmUpMs = 200, roundMs = 200, rounds = 5 } = options;
  timeRound(operation, warmUpMs);
  const samples = Array.from({ length: rounds }, () => timeRound(operation, roundMs));
  samples.sort((a, b) => a - b);
  return samples[Math.floor(rounds / 2)] ?? NaN;
}

function timeRound(operation: () => number, durationMs: number): number {
  const start = performance.now();
  let units = 0;
  let elapsed = 0;
  do {
    units += operation();
    elapsed = performance.now() - start;
  } while (elapsed < durationMs);
  return (elapsed * NS_PER_MS) / units;
}

/** Returns the heap and external memory in use, after a garbage collection if `--expose-gc` is set. */
export function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed + process.memoryUsage().external;
}
