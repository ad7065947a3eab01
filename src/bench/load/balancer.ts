/**
 * Picks instances as the platform's balancer does: at random among those that say that they are
 * ready. An instance that was not asked yet counts as ready.
 */
import type { Millis } from '../../core/clock.js';
import { readStatusOf } from './observe.js';

const CHECK_INTERVAL_MS: Millis = 250;
const HTTP_OK = 200;

export interface BalancedInstance {
  readonly url: string;
  readonly readyUrl?: string | undefined;
}

export interface Balancer {
  /** Base URLs in the order in which they are to be tried, for a number in [0, 1). */
  order: (balance: number) => readonly string[];
  stop: () => void;
}

/** Creates a balancer that asks the instances at an interval. */
export function createBalancer(instances: readonly BalancedInstance[]): Balancer {
  const notReady = new Set<BalancedInstance>();
  const asked = new Set<BalancedInstance>();

  async function check(instance: BalancedInstance): Promise<void> {
    if (instance.readyUrl === undefined || asked.has(instance)) return;
    asked.add(instance);
    const status = await readStatusOf(instance.readyUrl);
    asked.delete(instance);
    if (status === HTTP_OK) notReady.delete(instance);
    else notReady.add(instance);
  }

  const timer = setInterval(() => {
    instances.forEach((instance) => {
      void check(instance);
    });
  }, CHECK_INTERVAL_MS);

  return {
    order: (balance) => {
      const ready = instances.filter((instance) => !notReady.has(instance));
      const usable = ready.length > 0 ? ready : instances;
      const first = Math.floor(balance * usable.length);
      return [...usable.slice(first), ...usable.slice(0, first)].map(({ url }) => url);
    },
    stop: () => clearInterval(timer),
  };
}
