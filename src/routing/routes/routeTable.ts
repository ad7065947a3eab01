/** Finds the route of a request by its host and the longest matching path prefix. */
import type { Millis } from '../../core/clock.js';
import type { Random } from '../../core/random.js';
import type { PoolId, Route } from '../types.js';

export interface RouteTable {
  /** Returns the route that matches a host and path, if there is one. The query is ignored. */
  readonly find: (host: string, path: string) => Route | undefined;
  /** Returns the shortest objective among the routes that target a pool. */
  readonly shortestObjective: (pool: PoolId) => Millis | undefined;
}

/** Indexes routes by host and path prefix. A lookup takes one step for each slash of the path. */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const byHost = new Map<string, Map<string, Route>>();
  const shortestObjectives = new Map<PoolId, Millis>();
  routes.forEach((route) => {
    route.targets.forEach(({ pool }) => {
      shortestObjectives.set(
        pool,
        Math.min(shortestObjectives.get(pool) ?? Infinity, route.objectiveMs),
      );
    });
    const host = route.host.toLowerCase();
    const byPrefix = byHost.get(host) ?? new Map<string, Route>();
    byPrefix.set(route.pathPrefix, route);
    byHost.set(host, byPrefix);
  });
  return {
    shortestObjective: (pool) => shortestObjectives.get(pool),
    find: (host, path) => {
      const byPrefix = byHost.get(normalizeHost(host));
      if (byPrefix === undefined) return undefined;
      const end = path.indexOf('?');
      return findLongestPrefix(byPrefix, end < 0 ? path : path.slice(0, end));
    },
  };
}

function findLongestPrefix(byPrefix: ReadonlyMap<string, Route>, path: string): Route | undefined {
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const route = byPrefix.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
    if (end === 0) return undefined;
    end = path.lastIndexOf('/', end - 1);
  }
  return undefined;
}

/** Lowercases a host and removes its port, if it has one. */
function normalizeHost(host: string): string {
  const lower = host.toLowerCase();
  const colon = lower.lastIndexOf(':');
  return colon > lower.lastIndexOf(']') ? lower.slice(0, colon) : lower;
}

/** Picks one of a route's target pools at random, in proportion to their weights. */
export function pickPool(route: Route, random: Random): PoolId | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  if (total <= 0) return route.targets[0]?.pool;
  let remaining = random.next() * total;
  const picked = route.targets.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return picked?.pool ?? route.targets.at(-1)?.pool;
}
