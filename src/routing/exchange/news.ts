/** The messages in which instances tell each other what they know: composed from the state, and read. */
import { hash32 } from '../../core/hash.js';
import type { RoutingContext } from '../context.js';
import type { PartRead } from '../placement/prefixMemory.js';
import { localRates } from '../shares/tokenShares.js';
import { crashCountsOf } from '../suspects/suspects.js';
import type { OpenWork } from '../upstreams/upstreamsState.js';
import { NO_CONFIRMATION, type ConfirmationNews } from './confirmations.js';
import type { News, PeerNews } from './exchangeState.js';

/** What this instance tells of itself. */
export function ownNews(ctx: RoutingContext): PeerNews {
  const work = new Map<number, OpenWork>();
  ctx.state.upstreams.byId.forEach(({ hash, own }) => {
    if (own.running > 0) work.set(hash, own);
  });
  const rates = new Map([...localRates(ctx)].map(([name, rate]) => [hash32(name), rate]));
  return { work, rates, instances: 1 };
}

export interface MessageOptions {
  readonly news: PeerNews;
  /** Parts of prompts that upstreams were given to read. */
  readonly parts: readonly PartRead[];
  /** Instances whose counts of crashes are told. */
  readonly instances: ReadonlySet<string>;
  /** Failure domain whose sums are told. */
  readonly domain?: string;
  /** Sums of other domains. */
  readonly others?: readonly News[];
  readonly confirmation?: ConfirmationNews;
}

export function composeMessage(ctx: RoutingContext, options: MessageOptions): News {
  const { news, parts, domain = '', others = [], confirmation = NO_CONFIRMATION } = options;
  const { exchange, phase } = ctx.state;
  const work = [...news.work.values()];
  const rates = [...news.rates.values()];
  const crashes = crashCountsOf(ctx, options.instances);
  return {
    sequence: exchange.sequence,
    isLeaving: phase === 'stopping' || phase === 'stopped',
    upstreams: [...news.work.keys()],
    running: work.map(({ running }) => running),
    pendingTokens: work.map(({ pendingTokens }) => Math.max(0, Math.round(pendingTokens))),
    heldTokens: work.map(({ heldTokens }) => Math.max(0, Math.round(heldTokens))),
    customers: [...news.rates.keys()],
    asked: rates.map(({ asked }) => Math.round(asked)),
    admitted: rates.map(({ admitted }) => Math.round(admitted)),
    suspects: crashes.map(({ fingerprint }) => fingerprint),
    crashes: crashes.map((entry) => entry.crashes),
    readParts: parts.map(({ part }) => part),
    readAt: parts.map(({ upstream }) => upstream),
    instances: news.instances,
    domain,
    others,
    ...confirmation,
  };
}

export function readNews(told: News): PeerNews {
  const work = new Map<number, OpenWork>();
  told.upstreams.forEach((hash, i) => {
    work.set(hash, {
      running: told.running[i] ?? 0,
      pendingTokens: told.pendingTokens[i] ?? 0,
      heldTokens: told.heldTokens[i] ?? 0,
    });
  });
  const rates = new Map(
    told.customers.map((hash, i) => [
      hash,
      { asked: told.asked[i] ?? 0, admitted: told.admitted[i] ?? 0 },
    ]),
  );
  return { work, rates, instances: Math.max(1, told.instances) };
}

/** Parts of prompts that a message tells of. */
export function partsOf(told: News): readonly PartRead[] {
  return told.readParts.flatMap((part, i) => {
    const upstream = told.readAt[i];
    return upstream === undefined ? [] : [{ part, upstream }];
  });
}
