/** Non-cryptographic hashing and weighted rendezvous hashing. */
import MurmurHash3 from 'imurmurhash';

const UINT32_RANGE = 2 ** 32;

/** Returns a 32-bit hash of `text`. */
export function hash32(text: string, seed = 0): number {
  return MurmurHash3(text, seed).result();
}

/** Combines two 32-bit hashes so that every bit depends on both (finalizer of MurmurHash3). */
export function mixHashes(first: number, second: number): number {
  let mixed = Math.imul(first ^ (first >>> 16), 0x85ebca6b) ^ second;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Weighted rendezvous score of `node` for `key` (Schindelhauer and Schomaker, "Weighted distributed
 * hash tables", SPAA 2005). The node with the highest score wins.
 */
export function rendezvousScore(key: string, node: string, weight = 1): number {
  return rendezvousScoreOfHashes(hash32(key), hash32(node), weight);
}

/** Variant of `rendezvousScore` for callers that cache the hashes of their keys and nodes. */
export function rendezvousScoreOfHashes(keyHash: number, nodeHash: number, weight = 1): number {
  const uniform = (mixHashes(keyHash, nodeHash) + 0.5) / UINT32_RANGE;
  return -weight / Math.log(uniform);
}
