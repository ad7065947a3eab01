/**
 * Picks instances as the platform's load balancer does: at random among those whose readiness check
 * succeeds. An instance that has not been checked yet counts as ready.
 */
import type { Millis } from '../../core/clock.js';
import { fetchStatusCode } from './observe.js';

const CHECK_INTERVAL_MS: Millis = 250;
const HTTP_OK = 200;

export interface BalancedInstance {
  readonly url: string;
  readonly readyUrl?: string | undefined;
}

export interface Balancer {
  /** Returns the base URLs in the order in which to try them, for a random number in [0, 1). */
  order: (draw: number) => readonly string[];
  stop: () => void;
}

/** Creates a balancer that checks the readiness of the instances at a fixed interval. */
export function createBalancer(instances: readonly BalancedInstance[]): Balancer {
  const notReady = new Set<BalancedInstance>();
  const pendingChecks = new Set<BalancedInstance>();

  async function check(instance: BalancedInstance): Promise<void> {
    if (instance.readyUrl === undefined || pendingChecks.has(instance)) return;
    pendingChecks.add(instance);
    const status = await fetchStatusCode(instance.readyUrl);
    pendingChecks.delete(instance);
    if (status === HTTP_OK) notReady.delete(instance);
    else notReady.add(instance);
  }

  const timer = setInterval(() => {
    instances.forEach((instance) => {
      void check(instance);
    });
  }, CHECK_INTERVAL_MS);

  return {
    order: (draw) => {
      const ready = instances.filter((instance) => !notReady.has(instance));
      const usable = ready.length > 0 ? ready : instances;
      const first = Math.floor(draw * usable.length);
      return [...usable.slice(first), ...usable.slice(0, first)].map(({ url }) => url);
    },
    stop: () => clearInterval(timer),
  };
}
