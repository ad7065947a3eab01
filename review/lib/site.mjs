/** The operator's configuration and the machines of a small deployment, after lsvpt-rota. */

export const HOST = 'ficu95.example';
export const KEY = 'asnmgkcuyj8pjbvk9m68';
export const TENANT = 'hule930';

const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 4_194_304,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
  TokensPerS: 244_999,
};

export const ROUTES = {
  swap: {
    Name: 'r-swap',
    Host: HOST,
    PathPrefix: '/swap/',
    Kind: 'non_idempotent',
    TimeoutMs: 1_200,
    SloMs: 150,
    Priority: 2,
    Service: 'desk',
    Attempts: 1,
    Public: false,
  },
  read: {
    Name: 'r-read',
    Host: HOST,
    PathPrefix: '/read/',
    Kind: 'idempotent',
    TimeoutMs: 1_200,
    SloMs: 150,
    Priority: 2,
    Service: 'desk',
    Attempts: 2,
    Public: false,
  },
  tag: {
    Name: 'r-tag',
    Host: HOST,
    PathPrefix: '/tag/',
    Kind: 'streaming',
    TimeoutMs: 3_000,
    SloMs: 500,
    Priority: 1,
    Service: 'model',
    Attempts: 1,
    Public: false,
    Sticky: true,
    Resumable: false,
    ItlTargetMs: 400,
  },
  query: {
    Name: 'r-query',
    Host: HOST,
    PathPrefix: '/query/',
    Kind: 'streaming',
    TimeoutMs: 15_000,
    SloMs: 500,
    Priority: 1,
    Service: 'model',
    Attempts: 2,
    Public: false,
    Sticky: true,
    Resumable: true,
    ItlTargetMs: 400,
  },
};

const SERVICES = [
  { Name: 'desk', HealthPath: '/healthz', MaxConns: 110, Protocol: 'h1', Tls: false },
  {
    Name: 'model',
    HealthPath: '/healthz',
    MaxConns: 630,
    Protocol: 'h1',
    Tls: false,
    Engine: { Slots: 128, KvCapacity: 836_812, Models: [{ Name: 'm' }] },
  },
];

export function configuration(version, { routes = Object.values(ROUTES), keys = [KEY] } = {}) {
  return {
    Version: version,
    Routes: routes,
    Services: SERVICES,
    Limits: LIMITS,
    Tenants: [{ Name: TENANT, ApiKeys: keys, Priority: 1 }],
  };
}

export const ZONES = ['dieng-a', 'bromo-a', 'lawu-a'];

/** One machine in each zone, as many as asked for in turn. */
export const machines = (count) =>
  Array.from({ length: count }, (_none, i) => {
    const zone = ZONES[i % ZONES.length];
    return { name: `front-${zone}-${Math.floor(i / ZONES.length) + 1}`, zone };
  });

let nextRequest = 1;

/** Headers of a client's request. Every attempt has an id of its own. */
export function clientHeaders({ deadlineMs, key = KEY, more = {} }) {
  const requestId = nextRequest.toString(16).padStart(16, '0');
  nextRequest += 1;
  return {
    Host: HOST,
    'Request-Id': requestId,
    'Deadline-Ms': String(deadlineMs),
    Authorization: `Token ${key}`,
    ...more,
  };
}
