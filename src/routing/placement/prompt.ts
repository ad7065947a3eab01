/**
 * A request's prompt as placement sees it: which of its parts are believed to be kept where, and the
 * upstreams on which all instances agree for its longest shared part, by rendezvous hashing.
 */
import { hash32, rendezvousScoreOfHashes } from '../../core/hash.js';
import type { RoutingContext } from '../context.js';
import type { RequestFacts } from '../types.js';
import type { Upstream } from '../upstreams/upstreamsState.js';
import type { PartHash } from './prefixMemory.js';

/** Whether all instances turn to an upstream first, or second, for a request's shared part. */
export type HomeRank = 'first' | 'second' | 'none';

/** A request's prompt as placement sees it. */
export interface Prompt {
  readonly tokens: number;
  readonly parts: readonly PromptPart[];
  readonly homes: Homes;
}

/** One part, in the order of the prompt. */
export interface PromptPart {
  readonly hash: PartHash;
  readonly tokens: number;
  readonly isShared: boolean;
  /** Upstreams that can be used and are believed to keep it. */
  readonly keptBy: ReadonlySet<Upstream>;
}

/** Describes a prompt with regard to the upstreams that can be used. */
export function describePrompt(
  ctx: RoutingContext,
  facts: RequestFacts,
  members: readonly Upstream[],
): Prompt {
  const { prefixes } = ctx.state;
  const last = facts.prefix.length - 1;
  const parts = facts.prefix.map(({ id, tokens }, i) => {
    const hash = partHash(facts, id);
    const keepers = members.filter((member) => prefixes.isKept(hash, member.hash, ctx.now));
    return { hash, tokens, isShared: i < last, keptBy: new Set(keepers) };
  });
  return { tokens: facts.promptTokens, parts, homes: homesOf(parts, members) };
}

/** What an upstream does not keep of a prompt. */
export interface Uncached {
  readonly tokens: number;
  /** Those of shared parts that another upstream keeps, or that belong at a home. */
  readonly readAgain: number;
}

/** Tokens that an upstream has to read: all from the first part on that it does not keep. */
export function uncachedParts(
  { tokens, parts }: Prompt,
  upstream: Upstream,
  home: HomeRank,
): Uncached {
  let kept = 0;
  let readAgain = 0;
  let isChained = true;
  parts.forEach((part) => {
    isChained &&= part.keptBy.has(upstream);
    if (isChained) kept += part.tokens;
    else if (part.isShared && (part.keptBy.size > 0 || home === 'none')) readAgain += part.tokens;
  });
  return { tokens: Math.max(0, tokens - kept), readAgain };
}

/** Upstreams on which all instances agree for the longest shared part of a prompt. */
export interface Homes {
  readonly first: Upstream | undefined;
  /** Where requests go that the first one cannot take in time. */
  readonly second: Upstream | undefined;
}

/** Which home of a prompt an upstream is. */
export function rankOf(upstream: Upstream, homes: Homes): HomeRank {
  if (upstream === homes.first) return 'first';
  return upstream === homes.second ? 'second' : 'none';
}

function homesOf(parts: readonly PromptPart[], members: readonly Upstream[]): Homes {
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

/** Hash of a part together with the model, as instances tell each other of it. */
export function partHash(facts: RequestFacts, part: string): PartHash {
  return hash32(`${facts.model} ${part}`);
}
