/** Non-cryptographic hashing for placement decisions. */
import murmurhash from 'murmurhash';

const UINT32_RANGE = 2 ** 32;

/** Returns a 32-bit hash of `text`. */
export function hash32(text: string, seed = 0): number {
  return murmurhash.v3(text, seed);
}

/**
 * Weighted rendezvous score of `node` for `key` (Schindelhauer and Schomaker, "Weighted distributed
 * hash tables", SPAA 2005). The node with the greatest score is chosen.
 */
export function rendezvousScore(key: string, node: string, weight = 1): number {
  const uniform = (hash32(`${node}\u0000${key}`) + 0.5) / UINT32_RANGE;
  return -weight / Math.log(uniform);
}
