/**
 * Runs the soak test once: instance processes behind faulty links, callers with persistent
 * connections, and faults generated from a seed. Records every request for the checks.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { createRandom } from '../../src/core/random.js';
import { Debug } from '../../src/core/debug.js';
import { createOperatorConfiguration, HOST } from '../platform/support/fleet.js';
import type { CheckOptions, Disturbance, ObservedRequest, SoakKind, SoakRecord } from './checks.js';
import { SOAK_EVENTS, startSoakFleet, type SoakFleet } from './fleet.js';
import { planFaults, type PlannedFault, type SoakFault } from './plan.js';

export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly instances: number;
  readonly engines: number;
  readonly requestsPerSecond: number;
  readonly meanFaultIntervalMs: number;
  readonly program: string;
  readonly dir: string;
  /** Time from the end of fault injection until requests must be served again. */
  readonly recoveryMs?: number;
}

export interface SoakResult {
  readonly faults: readonly PlannedFault[];
  readonly record: SoakRecord;
}

export const DEFAULT_CHECKS: CheckOptions = {
  revokeMs: 5_000,
  drainMs: 2_500,
  eventsPerStream: SOAK_EVENTS,
  minServedRatio: 0.9,
  memoryLimitMib: 350,
};

const READY_INTERVAL_MS = 200;
const START_TIMEOUT_MS = 20_000;
/** Lets the longest fault end and the instances recover before served requests are counted. */
const DEFAULT_RECOVERY_MS = 14_000;
const FINAL_PHASE_MS = 4_000;
/** Time for which the store is away before it comes back from a copy, and until what was lost is written again. */
const RESTORE_OUTAGE_MS = 500;
const REWRITE_AFTER_MS = 300;
const CALLER_TIMEOUT_MS = 5_000;
const KINDS: readonly SoakKind[] = ['book', 'look', 'chat', 'draft'];
const KEY_COUNT = 12;

/** Runs the soak test once and returns what was recorded. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, durationMs, instances, engines } = options;
  const fleet = await startSoakFleet(options);
  const faults = planFaults({
    seed,
    durationMs,
    instances,
    engines,
    meanIntervalMs: options.meanFaultIntervalMs,
  });
  const operator = createOperator(fleet);
  operator.configure();
  const balancer = startBalancer(fleet);
  try {
    await waitUntilReady(balancer, instances);
    const startedAt = Date.now();
    const { recoveryMs = DEFAULT_RECOVERY_MS } = options;
    const recoveredAt = startedAt + durationMs + recoveryMs;
    const until = recoveredAt + FINAL_PHASE_MS;
    const callers = runCallers(options, balancer, operator, until);
    await injectFaults(faults, fleet, operator, startedAt);
    const requests = await callers;
    const runs = fleet.allEngines().flatMap((engine) => engine.runs);
    const { revokedAt } = operator;
    const { unexpectedExits } = fleet;
    const lateArrivals = fleet.allEngines().flatMap((engine) => engine.lateArrivals());
    const disturbances = faults.flatMap(({ atMs, fault }) =>
      findDisturbance(startedAt + atMs, fault),
    );
    return {
      faults,
      record: {
        requests,
        runs,
        revokedAt,
        lateArrivals,
        disturbances,
        unexpectedExits,
        peakMemoryMib: fleet.peakMemoryMib(),
        recoveredAt,
      },
    };
  } finally {
    balancer.stop();
    await fleet.close();
  }
}

/** Longest time that a planned stop takes. */
const STOP_DISTURBANCE_MS = 8_000;
/** Time for which a process that was killed or stopped may not have heard from the others again. */
const REJOIN_MS = 6_000;

/** Returns the time in which a fault may keep an instance from hearing of an upstream that leaves. */
function findDisturbance(at: number, fault: SoakFault): readonly Disturbance[] {
  switch (fault.kind) {
    case 'kill':
    case 'hupAtStart':
    case 'stop':
      return [{ from: at, until: at + STOP_DISTURBANCE_MS + REJOIN_MS }];
    case 'pause':
      return [{ from: at, until: at + fault.forMs + REJOIN_MS }];
    default:
      return [];
  }
}

/** Publishes configuration versions and revokes keys one at a time. */
function createOperator({ store }: SoakFleet) {
  const revokedAt = new Map<string, number>();
  const keys = Array.from({ length: KEY_COUNT }, (_, i) => `soak-key-${i}`);
  let version = 0;

  function configure(): void {
    version += 1;
    write();
  }

  function write(): void {
    const valid = keys.filter((key) => !revokedAt.has(key));
    const tenants = [{ Name: 'customer-a', ApiKeys: valid, Priority: 1 }];
    store.append('keyed.op', 'config', createOperatorConfiguration(version, { Tenants: tenants }));
  }

  return {
    keys,
    revokedAt,
    configure,
    /** Writes the newest version again. */
    write,
    revoke: () => {
      // The first key is never revoked, so some requests can always be served.
      const next = keys.slice(1).find((key) => !revokedAt.has(key));
      if (next === undefined) return;
      revokedAt.set(next, Date.now());
      configure();
    },
  };
}

type Operator = ReturnType<typeof createOperator>;

/** Polls the readiness endpoints and selects instances as the platform's load balancer does. */
function startBalancer({ instances }: SoakFleet) {
  const ready = new Set<number>();
  let isStopped = false;
  const agent = new Agent({ connect: { timeout: 500 } });

  async function pollReadiness(number: number, url: string): Promise<void> {
    while (!isStopped) {
      // eslint-disable-next-line no-await-in-loop -- polls
      const isReady = await request(url, { dispatcher: agent, signal: AbortSignal.timeout(500) })
        .then(async ({ statusCode, body }) => {
          await body.dump();
          return statusCode === 200;
        })
        .catch(() => false);
      if (isReady) ready.add(number);
      else ready.delete(number);
      // eslint-disable-next-line no-await-in-loop -- polls
      await sleep(READY_INTERVAL_MS);
    }
  }

  instances.forEach(({ number, ready: url }) => {
    void pollReadiness(number, url);
  });
  return {
    /** Returns the ready instances, or all instances if none is ready. */
    choices: () => {
      const chosen = instances.filter(({ number }) => ready.has(number));
      return chosen.length > 0 ? chosen : instances;
    },
    readyCount: () => ready.size,
    stop: () => {
      isStopped = true;
      void agent.destroy();
    },
  };
}

type Balancer = ReturnType<typeof startBalancer>;

async function waitUntilReady(balancer: Balancer, instances: number): Promise<void> {
  for (let waited = 0; waited < START_TIMEOUT_MS; waited += READY_INTERVAL_MS) {
    if (balancer.readyCount() === instances) return;
    // eslint-disable-next-line no-await-in-loop -- polls
    await sleep(READY_INTERVAL_MS);
  }
  throw new Error(`${balancer.readyCount()} of ${instances} instances became ready`);
}

/** Sends requests until `until` and resolves with their outcomes. */
async function runCallers(
  options: SoakOptions,
  balancer: Balancer,
  operator: Operator,
  until: number,
): Promise<ObservedRequest[]> {
  const random = createRandom(options.seed + 1);
  const agent = new Agent();
  const pending: Promise<ObservedRequest>[] = [];
  let count = 0;
  while (Date.now() < until) {
    const choices = balancer.choices();
    const instance = choices[Math.floor(random.next() * choices.length)];
    const kind = KINDS[Math.floor(random.next() * KINDS.length)] ?? 'look';
    const key = operator.keys[Math.floor(random.next() * KEY_COUNT)] ?? '';
    count += 1;
    if (instance !== undefined) {
      const id = `s${options.seed}-${count}`;
      pending.push(sendRequest(agent, instance, { id, kind, key }));
    }
    // eslint-disable-next-line no-await-in-loop -- paces requests to the configured mean rate
    await sleep((1_000 / options.requestsPerSecond) * 2 * random.next());
  }
  const seen = await Promise.all(pending);
  await agent.destroy();
  return seen;
}

async function sendRequest(
  agent: Agent,
  { callers, number }: { readonly callers: string; readonly number: number },
  { id, kind, key }: Pick<ObservedRequest, 'id' | 'kind' | 'key'>,
): Promise<ObservedRequest> {
  const sentAt = Date.now();
  const seen = { id, kind, key, instance: number, sentAt };
  try {
    const response = await request(`${callers}/${kind}/1`, {
      dispatcher: agent,
      method: kind === 'look' ? 'GET' : 'POST',
      headers: {
        host: HOST,
        'request-id': id,
        'deadline-ms': String(CALLER_TIMEOUT_MS),
        authorization: `Token ${key}`,
      },
      signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
    });
    const text = await response.body.text();
    const signature = response.headers['response-signature'];
    return {
      ...seen,
      endedAt: Date.now(),
      status: response.statusCode,
      text,
      signature: typeof signature === 'string' ? signature : undefined,
    };
  } catch {
    // A broken connection is a valid outcome, evaluated by the checks.
    return { ...seen, endedAt: Date.now(), status: undefined, text: '', signature: undefined };
  }
}

async function injectFaults(
  faults: readonly PlannedFault[],
  fleet: SoakFleet,
  operator: Operator,
  startedAt: number,
): Promise<void> {
  for (const { atMs, fault } of faults) {
    // eslint-disable-next-line no-await-in-loop -- waits for the scheduled time
    await sleep(Math.max(0, startedAt + atMs - Date.now()));
    // eslint-disable-next-line no-await-in-loop -- faults are injected in order
    await injectFault(fault, fleet, operator);
  }
}

async function injectFault(fault: SoakFault, fleet: SoakFleet, operator: Operator): Promise<void> {
  const { store, instances } = fleet;
  const later = (forMs: number, action: () => void) => {
    setTimeout(action, forMs);
  };
  switch (fault.kind) {
    case 'kill':
      instances[fault.instance]?.signal('SIGKILL');
      return;
    case 'stop':
      instances[fault.instance]?.signal('SIGTERM');
      return;
    case 'hup':
      instances[fault.instance]?.signal('SIGHUP');
      return;
    case 'hupAtStart':
      instances[fault.instance]?.hupAtNextStart();
      instances[fault.instance]?.signal('SIGKILL');
      return;
    case 'pause':
      instances[fault.instance]?.signal('SIGSTOP');
      later(fault.forMs, () => instances[fault.instance]?.signal('SIGCONT'));
      return;
    case 'store':
      store.setFault(fault.fault);
      later(fault.forMs, () => store.setFault({ kind: 'none' }));
      return;
    case 'dropHistory':
      ['keyed.op', 'keyed.servers', 'keyed.instances'].forEach(store.dropHistory);
      return;
    case 'restore':
      restoreLater(fleet, operator, fault.ageMs);
      return;
    case 'rateLimit': {
      const engine = fleet.engines()[fault.engine]?.engine;
      engine?.setRateLimit(fault.perSecond);
      later(fault.forMs, () => engine?.setRateLimit(undefined));
      return;
    }
    case 'leave': {
      const engine = fleet.engines()[fault.engine]?.engine;
      engine?.setLeaving(true);
      later(fault.forMs, () => {
        engine?.setLeaving(false);
        if (engine !== undefined) fleet.restartListed(engine.id);
      });
      return;
    }
    case 'storeLink':
      instances[fault.instance]?.setStoreFault(fault.fault);
      later(fault.forMs, () => instances[fault.instance]?.setStoreFault({ kind: 'none' }));
      return;
    case 'engineLink': {
      const link = fleet.engines()[fault.engine]?.link;
      link?.setFault(fault.fault);
      later(fault.forMs, () => link?.setFault({ kind: 'none' }));
      return;
    }
    case 'engine': {
      const engine = fleet.engines()[fault.engine]?.engine;
      engine?.setFault(fault.fault);
      engine?.limitFault(10);
      return;
    }
    case 'crashEngine':
      await fleet.crashEngine(fault.engine);
      return;
    case 'configure':
      operator.configure();
      return;
    case 'revoke':
      operator.revoke();
      return;
    default:
      Debug.assertNever(fault);
  }
}

/** Takes a copy of the store, from which it comes back after `ageMs` and a moment without answers. */
function restoreLater(
  { store, relistEngines }: SoakFleet,
  operator: Operator,
  ageMs: number,
): void {
  const copy = store.takeCopy();
  setTimeout(() => {
    store.setFault({ kind: 'reset' });
    setTimeout(() => {
      store.restore(copy);
      store.setFault({ kind: 'none' });
      // What operators and engines wrote is written again; what instances wrote is lost.
      setTimeout(() => {
        operator.write();
        relistEngines();
      }, REWRITE_AFTER_MS);
    }, RESTORE_OUTAGE_MS);
  }, ageMs);
}
