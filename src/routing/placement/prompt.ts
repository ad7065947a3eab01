/**
 * Describes a request's prompt for placement: which of its parts are expected to be cached where,
 * and the home upstreams of its last shared part. Homes are chosen by rendezvous hashing, so that
 * all instances agree on them.
 */
import { hash32, rendezvousScoreOfHashes } from '../../core/hash.js';
import type { RoutingContext } from '../context.js';
import type { RequestFacts } from '../types.js';
import type { Upstream } from '../upstreams/upstreamsState.js';
import type { PartHash } from './prefixCacheTable.js';

/** Whether an upstream is the first or second rendezvous choice for a request's shared part. */
export type HomeRank = 'first' | 'second' | 'none';

/** A request's prompt, with the cache locations of its parts. */
export interface Prompt {
  readonly tokens: number;
  readonly parts: readonly PromptPart[];
  readonly homes: HomeUpstreams;
}

/** One part of a prompt, in prompt order. */
export interface PromptPart {
  readonly hash: PartHash;
  readonly tokens: number;
  readonly isShared: boolean;
  /** Usable upstreams that are expected to have it cached. */
  readonly cachedBy: ReadonlySet<Upstream>;
}

/** Describes a prompt relative to the usable upstreams. */
export function describePrompt(
  ctx: RoutingContext,
  facts: RequestFacts,
  members: readonly Upstream[],
): Prompt {
  const { prefixes } = ctx.state;
  const last = facts.prefix.length - 1;
  const parts = facts.prefix.map(({ id, tokens }, i) => {
    const hash = hashPart(facts, id);
    const caching = members.filter((member) => prefixes.isCached(hash, member.hash, ctx.now));
    return { hash, tokens, isShared: i < last, cachedBy: new Set(caching) };
  });
  return { tokens: facts.promptTokens, parts, homes: selectHomes(parts, members) };
}

/** Tokens of a prompt that an upstream does not have cached. */
export interface UncachedTokens {
  readonly total: number;
  /**
   * Tokens of shared parts that another upstream has cached, or that a home upstream should read.
   */
  readonly reread: number;
}

/**
 * Counts the tokens that an upstream has to read. Only a contiguous prefix can be served from the
 * cache: everything from the first uncached part on is read.
 */
export function countUncachedTokens(
  { tokens, parts }: Prompt,
  upstream: Upstream,
  home: HomeRank,
): UncachedTokens {
  let cachedTokens = 0;
  let reread = 0;
  let isPrefixCached = true;
  parts.forEach((part) => {
    isPrefixCached &&= part.cachedBy.has(upstream);
    if (isPrefixCached) cachedTokens += part.tokens;
    else if (part.isShared && (part.cachedBy.size > 0 || home === 'none')) reread += part.tokens;
  });
  return { total: Math.max(0, tokens - cachedTokens), reread };
}

/** Rendezvous choices for the last shared part of a prompt; all instances agree on them. */
export interface HomeUpstreams {
  readonly first: Upstream | undefined;
  /** Fallback for requests that the first home cannot serve in time. */
  readonly second: Upstream | undefined;
}

/** Returns whether an upstream is the first home, the second home or neither. */
export function homeRankOf(upstream: Upstream, homes: HomeUpstreams): HomeRank {
  if (upstream === homes.first) return 'first';
  return upstream === homes.second ? 'second' : 'none';
}

function selectHomes(parts: readonly PromptPart[], members: readonly Upstream[]): HomeUpstreams {
  const part = parts.at(-2);
  if (part === undefined) return { first: undefined, second: undefined };
  const key = part.hash;
  let first: Upstream | undefined;
  let second: Upstream | undefined;
  let firstScore = -Infinity;
  let secondScore = -Infinity;
  members.forEach((upstream) => {
    const score = rendezvousScoreOfHashes(key, upstream.hash);
    if (score > firstScore) {
      [second, secondScore] = [first, firstScore];
      [first, firstScore] = [upstream, score];
    } else if (score > secondScore) {
      [second, secondScore] = [upstream, score];
    }
  });
  return { first, second };
}

/** Returns the hash of a part and the model, as exchanged between instances. */
export function hashPart(facts: RequestFacts, part: string): PartHash {
  return hash32(`${facts.model} ${part}`);
}
