/**
 * Baseline routers for comparison with the routing core. Each instance uses only its own request
 * counts and does not communicate with other instances.
 *
 * - `leastLoaded`: picks the upstream with the fewest requests of this instance; never rejects.
 * - `homes`: picks the upstream with the highest rendezvous hash for the shared prefix, or the
 *   second highest if the first is at its limit, and rejects if both are. The limit is lower for a
 *   customer that has more requests in flight than the mean of the instance's customers.
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

/**
 * Maximum requests of one instance at an upstream, and the maximum for customers above the mean.
 */
const UPSTREAM_LIMIT = 5;
const HEAVY_CUSTOMER_LIMIT = 2;
const RETRY_AFTER_MS: Millis = 300;
const POLL_INTERVAL_MS: Millis = 1_000;
const DEFAULT_DEADLINE_MS: Millis = 12_000;

interface RunningRequest {
  readonly upstream: string;
  readonly customer: string;
}

export function createBaselineRouter(policy: BaselinePolicy): Router {
  const upstreams = new Map<string, ListedUpstream>();
  const running = new Map<AttemptNumber, RunningRequest>();
  let nextAttempt = 1;

  const countRunning = (id: string) =>
    [...running.values()].filter(({ upstream }) => upstream === id).length;

  function upstreamLimitFor(customer: string): number {
    const byCustomer = new Map<string, number>();
    running.forEach(({ customer: name }) => {
      byCustomer.set(name, (byCustomer.get(name) ?? 0) + 1);
    });
    const mean = running.size / Math.max(1, byCustomer.size);
    return (byCustomer.get(customer) ?? 0) > mean ? HEAVY_CUSTOMER_LIMIT : UPSTREAM_LIMIT;
  }

  function chooseUpstream(facts: RequestFacts): ListedUpstream | undefined {
    const all = [...upstreams.values()];
    switch (policy) {
      case 'leastLoaded':
        return all.sort((a, b) => countRunning(a.id) - countRunning(b.id))[0];
      case 'homes': {
        const key = hash32(facts.prefix.at(-2)?.id ?? '');
        const scoreOf = ({ id }: ListedUpstream) => rendezvousScoreOfHashes(key, hash32(id));
        const limit = upstreamLimitFor(facts.key ?? '');
        return all
          .sort((a, b) => scoreOf(b) - scoreOf(a))
          .slice(0, 2)
          .find(({ id }) => countRunning(id) < limit);
      }
      default:
        return Debug.assertNever(policy);
    }
  }

  function startRequest(facts: RequestFacts): readonly RoutingEffect[] {
    const { request } = facts;
    const upstream = chooseUpstream(facts);
    if (upstream === undefined) {
      const retryAfterMs = RETRY_AFTER_MS;
      const answer = { request, status: 503, reason: 'overload', retryAfterMs } as const;
      return [{ kind: 'answer', answer }];
    }
    const attempt = nextAttempt;
    nextAttempt += 1;
    running.set(attempt, { upstream: upstream.id, customer: facts.key ?? '' });
    const { id, address, startedAt } = upstream;
    return [
      {
        kind: 'send',
        plan: {
          attempt,
          request,
          upstream: id,
          address,
          upstreamStartedAt: startedAt,
          deadlineMs: facts.deadlineMs ?? DEFAULT_DEADLINE_MS,
          mode: 'stream',
          isResumed: false,
          maxConnections: Infinity,
        },
      },
    ];
  }

  function applyUpstreamList(
    event: Extract<RoutingEvent, { readonly kind: 'upstreamsPolled' }>,
  ): void {
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
          applyUpstreamList(event);
          return [{ kind: 'setTimer', timer: 'upstreamPoll', at: now + POLL_INTERVAL_MS }];
        case 'timer':
          return [{ kind: 'pollUpstreams' }];
        case 'requestArrived':
          return startRequest(event.facts);
        case 'attemptEnded':
          running.delete(event.attempt);
          return [];
        default:
          return [];
      }
    },
  };
}
