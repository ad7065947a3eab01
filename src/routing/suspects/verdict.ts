/**
 * Judges a possible cause by the crashes under it.
 *
 * Crashes that followed one another prove it. A service of a few upstreams does not last that long: a
 * request that its sender or its caller repeats at once takes them down in one wave, in less time than the
 * clocks of two instances are known to agree. The same request at two upstreams that crash is therefore
 * doubted until one trial has shown whether a third one stands it. A part of a prompt is not, as
 * upstreams hold many requests with it when they fail together.
 */
import { countSuccessiveCrashes, type Crash } from './crash.js';

export type Verdict =
  /** Requests with the cause are sent. */
  | 'open'
  /** They are refused but for an early trial. */
  | 'doubted'
  /** They are refused for long. */
  | 'proven';

export interface Judgment {
  readonly verdict: Verdict;
  /** Number of crashes that followed one another. */
  readonly count: number;
}

/** Waves of crashes that prove a request as a whole, if it has crashed as many upstreams as are allowed. */
export const PROVING_WAVES = 2;
/** Minimum number of crashes after which a request as a whole is doubted. */
const MIN_DOUBTED_CRASHES = 2;

/**
 * @param isWhole Whether the cause is a request as a whole.
 * @param maxCrashes Number of upstreams that may crash one after the other.
 */
export function judge(crashes: readonly Crash[], isWhole: boolean, maxCrashes: number): Judgment {
  const count = countSuccessiveCrashes(crashes);
  if (count >= maxCrashes) return { verdict: 'proven', count };
  if (!isWhole) return { verdict: 'open', count };
  if (crashes.length >= maxCrashes && count >= PROVING_WAVES) return { verdict: 'proven', count };
  const isDoubted = crashes.length >= Math.max(MIN_DOUBTED_CRASHES, maxCrashes - 1);
  return { verdict: isDoubted ? 'doubted' : 'open', count };
}
