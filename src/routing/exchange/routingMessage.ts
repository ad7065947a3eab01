/** Composes and decodes the messages between instances. */
import { hash32 } from '../../core/hash.js';
import type { RoutingContext } from '../context.js';
import type { PartRead } from '../placement/prefixCacheTable.js';
import type { LimitNews } from '../rateLimits/limitNews.js';
import { localRates } from '../shares/tokenShares.js';
import type { StreamNews } from '../versions/streamNews.js';
import { composeLeavingNews } from '../upstreams/leaving.js';
import type { OpenWork } from '../upstreams/upstreamsState.js';
import { NO_CONFIRMATION, type ConfirmationFields } from './confirmations.js';
import type { RoutingMessage, LoadSummary } from './exchangeState.js';

/** Summarizes the load of this instance. */
export function localSummary(ctx: RoutingContext): LoadSummary {
  const work = new Map<number, OpenWork>();
  ctx.state.upstreams.byId.forEach(({ hash, own }) => {
    if (own.running > 0) work.set(hash, own);
  });
  const rates = new Map([...localRates(ctx)].map(([name, rate]) => [hash32(name), rate]));
  return { work, rates, instances: 1 };
}

export interface MessageOptions {
  readonly summary: LoadSummary;
  /** Prompt parts that were sent to upstreams. */
  readonly parts: readonly PartRead[];
  /** What is known of crashes of upstreams. */
  readonly suspectNews: RoutingMessage['suspectNews'];
  /** What is known of the rate limits of upstreams. */
  readonly rateLimits: LimitNews;
  /** Streams that began lately, by the software version that began them. */
  readonly streams: StreamNews;
  /** Failure domain that the summary covers; unset for a single instance. */
  readonly domain?: string;
  /** Summaries of other domains to forward. */
  readonly others?: readonly RoutingMessage[];
  readonly confirmation?: ConfirmationFields;
}

export function composeMessage(ctx: RoutingContext, options: MessageOptions): RoutingMessage {
  const { summary, parts, domain = '', others = [], confirmation = NO_CONFIRMATION } = options;
  const { exchange, phase } = ctx.state;
  const work = [...summary.work.values()];
  const rates = [...summary.rates.values()];
  return {
    sequence: exchange.sequence,
    isLeaving: phase === 'stopping' || phase === 'stopped',
    upstreams: [...summary.work.keys()],
    running: work.map(({ running }) => running),
    pendingTokens: work.map(({ pendingTokens }) => Math.max(0, Math.round(pendingTokens))),
    heldTokens: work.map(({ heldTokens }) => Math.max(0, Math.round(heldTokens))),
    customers: [...summary.rates.keys()],
    asked: rates.map(({ asked }) => Math.round(asked)),
    admitted: rates.map(({ admitted }) => Math.round(admitted)),
    suspectNews: options.suspectNews,
    rateLimits: options.rateLimits,
    leaving: composeLeavingNews(ctx),
    streams: options.streams,
    readParts: parts.map(({ part }) => part),
    readAt: parts.map(({ upstream }) => upstream),
    instances: summary.instances,
    domain,
    others,
    ...confirmation,
  };
}

export function decodeSummary(message: RoutingMessage): LoadSummary {
  const work = new Map<number, OpenWork>();
  message.upstreams.forEach((hash, i) => {
    work.set(hash, {
      running: message.running[i] ?? 0,
      pendingTokens: message.pendingTokens[i] ?? 0,
      heldTokens: message.heldTokens[i] ?? 0,
    });
  });
  const rates = new Map(
    message.customers.map((hash, i) => [
      hash,
      { asked: message.asked[i] ?? 0, admitted: message.admitted[i] ?? 0 },
    ]),
  );
  return { work, rates, instances: Math.max(1, message.instances) };
}

/** Decodes the prompt parts that a message reports. */
export function decodeParts(message: RoutingMessage): readonly PartRead[] {
  return message.readParts.flatMap((part, i) => {
    const upstream = message.readAt[i];
    return upstream === undefined ? [] : [{ part, upstream }];
  });
}
