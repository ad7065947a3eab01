/** Finds the route of a request by its host and the longest prefix of its path. */
import type { Millis } from '../../core/clock.js';
import type { Random } from '../../core/random.js';
import type { PoolId, Route } from '../types.js';

export interface RouteTable {
  /** Returns the route of a host and path (a query is ignored), if there is one. */
  readonly find: (host: string, path: string) => Route | undefined;
  /** Shortest objective among the routes that lead to a pool. */
  readonly urgentObjective: (pool: PoolId) => Millis | undefined;
}

/** Indexes routes. A lookup takes one step for each slash of the path. */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const byHost = new Map<string, Map<string, Route>>();
  const urgent = new Map<PoolId, Millis>();
  routes.forEach((route) => {
    route.targets.forEach(({ pool }) => {
      urgent.set(pool, Math.min(urgent.get(pool) ?? Infinity, route.objectiveMs));
    });
    const host = route.host.toLowerCase();
    const byPrefix = byHost.get(host) ?? new Map<string, Route>();
    byPrefix.set(route.pathPrefix, route);
    byHost.set(host, byPrefix);
  });
  return {
    urgentObjective: (pool) => urgent.get(pool),
    find: (host, path) => {
      const byPrefix = byHost.get(hostWithoutPort(host));
      if (byPrefix === undefined) return undefined;
      const end = path.indexOf('?');
      return longestPrefix(byPrefix, end < 0 ? path : path.slice(0, end));
    },
  };
}

function longestPrefix(byPrefix: ReadonlyMap<string, Route>, path: string): Route | undefined {
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const route = byPrefix.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
    if (end === 0) return undefined;
    end = path.lastIndexOf('/', end - 1);
  }
  return undefined;
}

function hostWithoutPort(host: string): string {
  const lower = host.toLowerCase();
  const colon = lower.lastIndexOf(':');
  return colon > lower.lastIndexOf(']') ? lower.slice(0, colon) : lower;
}

/** Picks one of a route's pools at random, by weight. */
export function pickPool(route: Route, random: Random): PoolId | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  if (total <= 0) return route.targets[0]?.pool;
  let left = random.next() * total;
  const picked = route.targets.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return picked?.pool ?? route.targets.at(-1)?.pool;
}
