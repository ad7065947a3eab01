/** Sends metrics over UDP with `hot-shots`; sends nothing unless an address is set. */
import { StatsD } from 'hot-shots';
import type { Metrics } from './types.js';
import { parseAddress } from './address.js';

export interface MetricsOptions {
  /** Address of the receiver as `ip:port`; metrics are disabled if it is not set. */
  readonly address?: string | undefined;
  readonly prefix?: string;
  readonly tags: Readonly<Record<string, string>>;
}

const DEFAULT_PREFIX = 'primroseswitch.';
const MAX_PACKET_BYTES = 1_400;
const NO_METRICS: Metrics = { count: () => {}, close: async () => Promise.resolve() };

/** Creates the metrics client of one instance. */
export function createMetrics(options: MetricsOptions): Metrics {
  if (options.address === undefined) return NO_METRICS;
  const client = new StatsD({
    ...parseAddress(options.address),
    prefix: options.prefix ?? DEFAULT_PREFIX,
    globalTags: { ...options.tags },
    maxBufferSize: MAX_PACKET_BYTES,
    cacheDns: true,
    // An unreachable receiver must not affect the instance.
    errorHandler: () => {},
  });
  return {
    count: (metric, value, tags) => client.increment(metric, value, { ...tags }),
    close: async () =>
      new Promise<void>((resolve) => {
        client.close(() => resolve());
      }),
  };
}
