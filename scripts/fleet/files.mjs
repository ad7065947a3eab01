/**
 * Generates the files of a local test fleet: settings of the stand-ins and of each instance, the
 * configuration document and the load file. Domains, customers and rates are those of a small site.
 */
import { createHash } from 'node:crypto';
import { createServer } from 'node:net';
import { stringify } from 'yaml';

const { SECTION_NAMES } = await import('../../dist/src/configuration/types.js');

const LOOPBACK = '127.0.0.1';
const MODEL_POOL = 'assistant';
const SERVICE_POOL = 'booking';
const ENGINE_SLOTS = 8;
const SERVICE_SLOTS = 16;
const TOKEN_INTERVAL_MS = 10;

const DOMAINS = [
  { domain: 'iasi-a', region: 'moldova' },
  { domain: 'cluj-a', region: 'transilvania' },
  { domain: 'pitesti-a', region: 'muntenia' },
];

/** Customers with their entitlement weights and their fractions of the load. */
const CUSTOMERS = [
  { name: 'orchard-north', weight: 2, loadShare: 0.4, hasLongRequests: true },
  { name: 'orchard-south', weight: 1, loadShare: 0.3, hasLongRequests: true },
  { name: 'installers', weight: 1, loadShare: 0.1, hasLongRequests: false },
  { name: 'depot-clerks', weight: 1, loadShare: 0.2, hasLongRequests: false },
];

const url = (port) => `http://${LOOPBACK}:${port}`;
const hashOf = (key) => createHash('sha256').update(key).digest('hex');
const keyOf = (name) => `key-of-${name}`;
const range = (count) => Array.from({ length: count }, (_, i) => i);
const domainOf = (index) => DOMAINS[index % DOMAINS.length];

/** Finds free ports. All are kept open until the last is assigned, so that they are distinct. */
export async function findFreePorts(count) {
  const servers = await Promise.all(
    range(count).map(
      () =>
        new Promise((resolve, reject) => {
          const server = createServer();
          server.once('error', reject);
          server.listen(0, LOOPBACK, () => {
            resolve(server);
          });
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}

/** Assigns names, failure domains and ports to all members of a fleet. */
export async function planFleet({ instances, engines, services }) {
  const ports = await findFreePorts(1 + engines + services + 3 * instances);
  const nextPort = () => ports.pop();
  return {
    platform: { port: nextPort() },
    engines: range(engines).map((i) => ({
      name: `engine-${i + 1}`,
      port: nextPort(),
      ...domainOf(i),
    })),
    services: range(services).map((i) => ({
      name: `service-${i + 1}`,
      port: nextPort(),
      ...domainOf(i),
    })),
    instances: range(instances).map((i) => ({
      name: `instance-${i + 1}`,
      callers: nextPort(),
      peers: nextPort(),
      operators: nextPort(),
      ...domainOf(i),
    })),
  };
}

/** Returns the settings file of the stand-ins. */
export function standinSettings(plan, seed) {
  return stringify({
    platform: { port: plan.platform.port, seed },
    engines: plan.engines.map(({ name, port }, i) => ({
      name,
      port,
      seed: seed + i + 1,
      batchSize: ENGINE_SLOTS,
      tokenIntervalMs: TOKEN_INTERVAL_MS,
      loadLagMs: 200,
      cacheEventDelayMs: 200,
      cacheEventLossRate: 0.02,
    })),
    services: plan.services.map(({ name, port }, i) => ({
      name,
      port,
      seed: seed + 100 + i,
      latencyMs: 10,
      concurrency: SERVICE_SLOTS,
    })),
  });
}

/** Returns the configuration document. */
export function configurationDocument(plan) {
  const upstream = (pool, slots) => (entry) => [
    entry.name,
    { pool, url: url(entry.port), domain: entry.domain, region: entry.region, slots },
  ];
  return stringify({
    teams: { operators: { keyHashes: [hashOf(keyOf('operators'))], sections: SECTION_NAMES } },
    customers: Object.fromEntries(
      CUSTOMERS.map(({ name }) => [name, { keyHashes: [hashOf(keyOf(name))] }]),
    ),
    entitlements: Object.fromEntries(
      CUSTOMERS.map(({ name, weight }) => [name, { [MODEL_POOL]: weight, [SERVICE_POOL]: weight }]),
    ),
    pools: {
      [MODEL_POOL]: { kind: 'model', cost: { perPromptToken: 0.1, perOutputToken: 1 } },
      [SERVICE_POOL]: { kind: 'service', cost: { perSlotMs: 1 } },
    },
    upstreams: Object.fromEntries([
      ...plan.engines.map(upstream(MODEL_POOL, ENGINE_SLOTS)),
      ...plan.services.map(upstream(SERVICE_POOL, SERVICE_SLOTS)),
    ]),
    routes: {
      [SERVICE_POOL]: [
        { pathPrefix: '/', methods: ['GET'], idempotent: true },
        { pathPrefix: '/', methods: ['POST'], idempotent: false },
      ],
    },
    fairness: { scope: 'pool', debtCap: 1_000_000, chargeStep: 64 },
  });
}

/** Returns the settings file of an instance. */
export function instanceSettings(plan, instance) {
  return stringify({
    instance: { id: instance.name, domain: instance.domain, region: instance.region },
    listen: {
      callers: `${LOOPBACK}:${instance.callers}`,
      peers: `${LOOPBACK}:${instance.peers}`,
      operators: `${LOOPBACK}:${instance.operators}`,
    },
    platform: { url: url(plan.platform.port) },
    document: 'configuration.yaml',
    log: { level: 'warn' },
    // No call of this load takes seconds, so short timeouts for silent upstreams are safe.
    core: { firstByteTimeout: '10s', idleTimeout: '5s' },
  });
}

/** Returns the body of `PUT /_control/instances` of the platform stand-in. */
export function instanceList(plan) {
  return {
    instances: plan.instances.map(({ name, peers, domain, region }) => ({
      id: name,
      address: `${LOOPBACK}:${peers}`,
      domain,
      region,
      state: 'live',
    })),
  };
}

/** Returns a load file with short and long completions, and bookings that are not idempotent. */
export function loadFile(plan, { seed, durationMs, ratePerSecond, burst }) {
  const targets = (list, pool) => list.map(({ name, port }) => ({ name, pool, url: url(port) }));
  return stringify({
    seed,
    durationMs,
    drainMs: 120_000,
    instances: plan.instances.map(({ name, callers, operators }) => ({
      name,
      url: url(callers),
      statusUrl: `${url(operators)}/status`,
      readyUrl: `${url(operators)}/readyz`,
    })),
    engines: targets(plan.engines, MODEL_POOL),
    services: targets(plan.services, SERVICE_POOL),
    platform: url(plan.platform.port),
    pools: [
      { name: MODEL_POOL, cost: { perPromptToken: 0.1, perOutputToken: 1 } },
      { name: SERVICE_POOL, cost: { perCall: 1 } },
    ],
    customers: CUSTOMERS.map(({ name, weight, loadShare, hasLongRequests }) => ({
      name,
      key: keyOf(name),
      weight,
      ratePerSecond: ratePerSecond * loadShare,
      bursts: burst > 0 ? [{ atMs: 0, requests: Math.round(burst * loadShare) }] : [],
      mix: [
        {
          kind: 'completion',
          pool: MODEL_POOL,
          share: 3,
          maxTokens: hasLongRequests ? [4, 40] : [2, 10],
          sharedWords: hasLongRequests ? 100 : 0,
        },
        { kind: 'completion', pool: MODEL_POOL, share: 1, maxTokens: [2, 10], stream: false },
        {
          kind: 'call',
          pool: SERVICE_POOL,
          share: 4,
          method: 'POST',
          path: '/reserve',
          idempotent: false,
          repeatShare: 0.2,
        },
        { kind: 'call', pool: SERVICE_POOL, share: 2, method: 'GET', path: '/stock' },
      ],
    })),
  });
}
