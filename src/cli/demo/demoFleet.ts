/** Demo fleet in one process: stand-ins and instances in three failure domains. */
import { parseInitialView } from '../../configuration/initialView.js';
import {
  createInstance,
  type Instance,
  type InstanceAddresses,
  type InstanceOptions,
} from '../../daemon/instance.js';
import {
  createEngineStandin,
  createPlatformStandin,
  createServiceStandin,
} from '../../standins/index.js';
import {
  createDemoDocument,
  DEMO_DOMAINS,
  MODEL_POOL,
  SERVICE_POOL,
  type DemoDomain,
  type DemoUpstream,
} from './demoDocument.js';

export interface DemoFleetOptions {
  /** Callers' port of the first instance; 0 selects a free port. */
  readonly port: number;
  readonly instancesPerDomain?: number;
  readonly enginesPerDomain?: number;
  readonly log?: InstanceOptions['log'];
}

export interface DemoInstance extends DemoDomain {
  readonly id: string;
  readonly addresses: InstanceAddresses;
}

export interface DemoFleet {
  readonly instances: readonly DemoInstance[];
  readonly upstreams: readonly DemoUpstream[];
  readonly platformUrl: string;
  /** Completes accepted requests, then stops the instances and the stand-ins. */
  readonly stop: () => Promise<void>;
}

const LOOPBACK = '127.0.0.1';
const ENGINE_SLOTS = 4;
const SERVICE_SLOTS = 8;
const TOKEN_INTERVAL_MS = 10;

interface RunningUpstream {
  readonly upstream: DemoUpstream;
  readonly stop: () => Promise<void>;
}

/** Starts the stand-ins, then the instances. */
export async function startDemoFleet(options: DemoFleetOptions): Promise<DemoFleet> {
  const { instancesPerDomain = 2, enginesPerDomain = 2 } = options;
  const platform = await createPlatformStandin();
  const running = await Promise.all(
    DEMO_DOMAINS.flatMap((location) => [
      ...range(enginesPerDomain).map(async (n) => startEngine(location, n)),
      startService(location),
    ]),
  );
  const upstreams = running.map(({ upstream }) => upstream);
  const result = parseInitialView(createDemoDocument(upstreams));
  if (result.kind !== 'view') throw new Error(JSON.stringify(result.diagnostics));
  const started: { readonly info: DemoInstance; readonly instance: Instance }[] = [];
  const instanceSpecs = range(instancesPerDomain).flatMap((n) =>
    DEMO_DOMAINS.map((location) => ({ ...location, id: `${location.domain}-${n}` })),
  );
  for (const spec of instanceSpecs) {
    const port = started.length === 0 ? options.port : 0;
    const instance = createInstance({
      ...spec,
      callers: { host: LOOPBACK, port },
      platformUrl: platform.url,
      initialConfiguration: result.view,
      ...(options.log === undefined ? {} : { log: options.log }),
    });
    const addresses = await instance.start();
    started.push({ info: { ...spec, addresses }, instance });
  }
  const instances = started.map(({ info }) => info);
  platform.setInstances(
    instances.map(({ id, domain, region, addresses }) => ({
      id,
      domain,
      region,
      address: addresses.peers,
      state: 'live',
    })),
  );
  return {
    instances,
    upstreams,
    platformUrl: platform.url,
    stop: async () => {
      await Promise.all(started.map(async ({ instance }) => instance.stop()));
      await Promise.all([platform, ...running].map(async ({ stop }) => stop()));
    },
  };
}

function range(count: number): readonly number[] {
  return Array.from({ length: count }, (_, i) => i + 1);
}

async function startEngine(location: DemoDomain, n: number): Promise<RunningUpstream> {
  const { url, stop } = await createEngineStandin({
    batchSize: ENGINE_SLOTS,
    tokenIntervalMs: TOKEN_INTERVAL_MS,
  });
  const id = `engine-${location.domain}-${n}`;
  return { upstream: { ...location, id, pool: MODEL_POOL, url, slots: ENGINE_SLOTS }, stop };
}

async function startService(location: DemoDomain): Promise<RunningUpstream> {
  const { url, stop } = await createServiceStandin({ concurrency: SERVICE_SLOTS });
  const id = `booking-${location.domain}`;
  return { upstream: { ...location, id, pool: SERVICE_POOL, url, slots: SERVICE_SLOTS }, stop };
}
