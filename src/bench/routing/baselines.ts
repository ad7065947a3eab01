/**
 * Plain routers to compare with. Each instance decides by its own requests alone.
 *
 * - `leastLoaded`: the upstream at which it runs fewest; nothing is refused.
 * - `homes`: the upstream that a hash of the shared part names, or the next one while that has too
 *   many; refused where both have. A customer that runs more than the mean of its instance has a
 *   smaller limit.
 */
import type { Millis } from '../../core/clock.js';
import { Debug } from '../../core/debug.js';
import { hash32, rendezvousScoreOfHashes } from '../../core/hash.js';
import type { Routing } from '../../routing/routing.js';
import type {
  AttemptNumber,
  ListedUpstream,
  RequestFacts,
  RoutingEffect,
  RoutingEvent,
} from '../../routing/types.js';

export type BaselinePolicy = 'leastLoaded' | 'homes';

export type Router = Pick<Routing, 'reduce'>;

/** Requests that an instance runs at one upstream at most, and for a customer above the mean. */
const HOME_LIMIT = 5;
const GREEDY_LIMIT = 2;
const RETRY_AFTER_MS: Millis = 300;
const POLL_MS: Millis = 1_000;
const DEADLINE_MS: Millis = 12_000;

interface RunningRequest {
  readonly upstream: string;
  readonly customer: string;
}

export function createBaselineRouter(policy: BaselinePolicy): Router {
  const upstreams = new Map<string, ListedUpstream>();
  const running = new Map<AttemptNumber, RunningRequest>();
  let nextAttempt = 1;

  const runningAt = (id: string) =>
    [...running.values()].filter(({ upstream }) => upstream === id).length;

  function limitFor(customer: string): number {
    const byCustomer = new Map<string, number>();
    running.forEach(({ customer: name }) => {
      byCustomer.set(name, (byCustomer.get(name) ?? 0) + 1);
    });
    const mean = running.size / Math.max(1, byCustomer.size);
    return (byCustomer.get(customer) ?? 0) > mean ? GREEDY_LIMIT : HOME_LIMIT;
  }

  function pick(facts: RequestFacts): ListedUpstream | undefined {
    const all = [...upstreams.values()];
    switch (policy) {
      case 'leastLoaded':
        return all.sort((a, b) => runningAt(a.id) - runningAt(b.id))[0];
      case 'homes': {
        const key = hash32(facts.prefix.at(-2)?.id ?? '');
        const scoreOf = ({ id }: ListedUpstream) => rendezvousScoreOfHashes(key, hash32(id));
        const limit = limitFor(facts.key ?? '');
        return all
          .sort((a, b) => scoreOf(b) - scoreOf(a))
          .slice(0, 2)
          .find(({ id }) => runningAt(id) < limit);
      }
      default:
        return Debug.assertNever(policy);
    }
  }

  function arrive(facts: RequestFacts): readonly RoutingEffect[] {
    const { request } = facts;
    const upstream = pick(facts);
    if (upstream === undefined) {
      const retryAfterMs = RETRY_AFTER_MS;
      const answer = { request, status: 503, reason: 'overload', retryAfterMs } as const;
      return [{ kind: 'answer', answer }];
    }
    const attempt = nextAttempt;
    nextAttempt += 1;
    running.set(attempt, { upstream: upstream.id, customer: facts.key ?? '' });
    const { id, address, bornAt } = upstream;
    return [
      {
        kind: 'send',
        plan: {
          attempt,
          request,
          upstream: id,
          address,
          bornAt,
          deadlineMs: facts.deadlineMs ?? DEADLINE_MS,
          mode: 'stream',
          isResumed: false,
          maxConnections: Infinity,
        },
      },
    ];
  }

  function takeList(event: Extract<RoutingEvent, { readonly kind: 'upstreamsPolled' }>): void {
    if (event.outcome.kind !== 'answered') return;
    upstreams.clear();
    event.outcome.changes.forEach((change) => {
      if (change.kind === 'listed') upstreams.set(change.upstream.id, change.upstream);
    });
  }

  return {
    reduce: (event, now) => {
      switch (event.kind) {
        case 'start':
          return [{ kind: 'pollUpstreams' }];
        case 'upstreamsPolled':
          takeList(event);
          return [{ kind: 'setTimer', timer: 'upstreamPoll', at: now + POLL_MS }];
        case 'timer':
          return [{ kind: 'pollUpstreams' }];
        case 'requestArrived':
          return arrive(event.facts);
        case 'attemptEnded':
          running.delete(event.attempt);
          return [];
        default:
          return [];
      }
    },
  };
}
