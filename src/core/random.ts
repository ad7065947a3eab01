/**
 * Seeded pseudo-random numbers for the core. The generator is part of the state, so that the same
 * events produce the same effects.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A seeded source of uniformly distributed numbers. */
export interface Random {
  /** Returns a number in [0, 1). */
  next: () => number;
  /** Returns an integer in [0, bound). */
  nextInt: (bound: number) => number;
}

const UINT32_RANGE = 2 ** 32;
/** Draws to discard, after which the sequences of adjacent seeds are no longer correlated. */
const WARM_UP_DRAWS = 16;

/** Creates a generator whose sequence depends only on `seed`. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  for (let i = 0; i < WARM_UP_DRAWS; i += 1) generator.next();
  const next = () => (generator.next() >>> 0) / UINT32_RANGE;
  return { next, nextInt: (bound) => Math.floor(next() * bound) };
}
