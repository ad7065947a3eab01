/**
 * Runs a fleet of real cores of a given size on the fake network, with requests waiting throughout.
 * Control traffic and processor time are counted per instance, because the limits apply to the
 * busiest instance and not to the mean.
 */
import { performance } from 'node:perf_hooks';
import type { Millis } from '../../core/clock.js';
import { MS_PER_SECOND } from '../../core/clock.js';
import { createRandom, type Random } from '../../core/random.js';
import type { InstanceId } from '../../core/types.js';
import { FRAMING_BYTES } from '../../protocol/codec.js';
import { PeerMessage as PeerMessageCodec } from '../../protocol/generated/peer.js';
import { createFakeNetwork, type FakeNetwork } from '../support/fakeNetwork.js';
import { createFleetView, domainName, regionName } from '../support/fleetView.js';

export interface FleetRunSize {
  readonly instances: number;
  readonly domains: number;
  readonly regions: number;
  readonly pools: number;
  readonly engines: number;
  readonly slots: number;
  /** Number of customers that always have requests waiting. Each uses a single pool. */
  readonly waiting: number;
  readonly customers: number;
  readonly tokensPerRequest: number;
  readonly tokensPerSecondAndSlot: number;
  readonly durationMs: Millis;
}

/** Load of one instance, per second. */
export interface InstanceLoad {
  /** Bytes sent and received, including framing. */
  readonly bytes: number;
  readonly crossRegionBytes: number;
  readonly messages: number;
  /** Processor time for timers and peer messages, including encoding and decoding, in milliseconds. */
  readonly controlMs: number;
  readonly polls: number;
}

export interface FleetRunResult {
  readonly mean: InstanceLoad;
  /** The maximum of each field over the instances. */
  readonly largest: InstanceLoad;
  /** Mean load per instance and second by message kind or `timer NAME`. */
  readonly kinds: Readonly<Record<string, KindLoad>>;
  readonly requestsPerSecond: number;
}

/** Load of one instance from one kind of message or timer, per second. */
export interface KindLoad {
  /** Number of messages sent and received, or of times that the timer fired. */
  readonly events: number;
  readonly bytes: number;
  readonly controlMs: number;
}

type InstanceTotals = { -readonly [K in keyof InstanceLoad]: number };

/** Size of the tag and length that precede each further message in a batch. */
const MESSAGE_HEADER_BYTES = 3;

const TICK_MS: Millis = 200;
const MEMBERSHIP_SETTLE_MS: Millis = 6_000;
const SETTLE_MS: Millis = 4_000;
const REFILL_MS: Millis = 200;
const SAME_REGION_DELAY_MS: Millis = 1;
const CROSS_REGION_DELAY_MS: Millis = 12;

export function runFleet(size: FleetRunSize): FleetRunResult {
  const meter = createMeter();
  const network = createFakeNetwork({
    seed: 1,
    view: createFleetView({ ...size, upstreams: size.engines }),
    instances: Array.from({ length: size.instances }, (_, i) => ({
      id: `i${i}`,
      domain: domainName(i % size.domains),
      region: regionName(i % size.domains, size.regions),
    })),
    tickMs: TICK_MS,
    tokensPerSecond: size.tokensPerSecondAndSlot,
    delayMs: (from, to) =>
      from.region === to.region ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS,
    ...meter.hooks,
  });
  network.runUntil(MEMBERSHIP_SETTLE_MS);
  keepQueuesFilled(network, size);
  network.runUntil(MEMBERSHIP_SETTLE_MS + SETTLE_MS);
  meter.reset();
  const jobsBefore = countFinishedJobs(network);
  network.runUntil(MEMBERSHIP_SETTLE_MS + SETTLE_MS + size.durationMs);
  const seconds = size.durationMs / MS_PER_SECOND;
  const requestsPerSecond = (countFinishedJobs(network) - jobsBefore) / seconds;
  return { ...meter.result([...network.nodes.keys()], seconds), requestsPerSecond };
}

function createMeter() {
  const totals = new Map<InstanceId, InstanceTotals>();
  /** Links used by the current event. Its messages to one instance share a batch and its framing. */
  const usedLinks = new Set<string>();
  const byKind = new Map<string, { -readonly [K in keyof KindLoad]: number }>();

  function totalsOf(id: InstanceId): InstanceTotals {
    const known = totals.get(id);
    if (known !== undefined) return known;
    const fresh = { bytes: 0, crossRegionBytes: 0, messages: 0, controlMs: 0, polls: 0 };
    totals.set(id, fresh);
    return fresh;
  }

  function addToKind(kind: string, events: number, bytes: number, controlMs: number): void {
    const known = byKind.get(kind) ?? { events: 0, bytes: 0, controlMs: 0 };
    byKind.set(kind, known);
    known.events += events;
    known.bytes += bytes;
    known.controlMs += controlMs;
  }

  const hooks: Pick<Parameters<typeof createFakeNetwork>[0], 'onSend' | 'onReduce'> = {
    onSend: (from, to, { message }) => {
      const start = performance.now();
      const encoded = PeerMessageCodec.encode({ body: message }).finish();
      const encodedAt = performance.now();
      PeerMessageCodec.decode(encoded);
      const link = `${from.id} ${to.id}`;
      const bytes = encoded.length + (usedLinks.has(link) ? MESSAGE_HEADER_BYTES : FRAMING_BYTES);
      usedLinks.add(link);
      const sender = totalsOf(from.id);
      const receiver = totalsOf(to.id);
      sender.controlMs += encodedAt - start;
      const end = performance.now();
      receiver.controlMs += end - encodedAt;
      [sender, receiver].forEach((side) => {
        side.bytes += bytes;
        side.messages += 1;
        if (from.region !== to.region) side.crossRegionBytes += bytes;
      });
      addToKind(message.$case, 2, 2 * bytes, end - start);
    },
    onReduce: (id, event, run) => {
      const isControl = event.kind === 'peerMessage' || event.kind === 'timer';
      usedLinks.clear();
      const start = performance.now();
      const effects = run();
      const side = totalsOf(id);
      const spent = performance.now() - start;
      if (isControl) side.controlMs += spent;
      if (event.kind === 'peerMessage') addToKind(event.message.$case, 0, 0, spent);
      if (event.kind === 'timer') addToKind(`timer ${event.timer}`, 1, 0, spent);
      side.polls += effects.filter((effect) => effect.kind === 'pollUpstream').length;
      return effects;
    },
  };

  function result(ids: readonly InstanceId[], seconds: number) {
    const sides = ids.map(totalsOf);
    const mean = (of: (side: InstanceTotals) => number) =>
      sides.reduce((sum, side) => sum + of(side), 0) / sides.length / seconds;
    const largest = (of: (side: InstanceTotals) => number) => Math.max(...sides.map(of)) / seconds;
    const combine = (aggregate: typeof mean): InstanceLoad => ({
      bytes: aggregate((side) => side.bytes),
      crossRegionBytes: aggregate((side) => side.crossRegionBytes),
      messages: aggregate((side) => side.messages),
      controlMs: aggregate((side) => side.controlMs),
      polls: aggregate((side) => side.polls),
    });
    const instanceSeconds = ids.length * seconds;
    const kinds = Object.fromEntries(
      [...byKind].map(([kind, { events, bytes, controlMs }]) => [
        kind,
        {
          events: events / instanceSeconds,
          bytes: bytes / instanceSeconds,
          controlMs: controlMs / instanceSeconds,
        },
      ]),
    );
    return { mean: combine(mean), largest: combine(largest), kinds };
  }

  function reset(): void {
    totals.clear();
    byKind.clear();
  }

  return { hooks, reset, result };
}

/** Refills the queues of the waiting customers, so that more requests wait than there are slots. */
function keepQueuesFilled(network: FakeNetwork, size: FleetRunSize): void {
  const random = createRandom(5);
  const ids = [...network.nodes.keys()];
  const depth = Math.max(2, Math.ceil((2 * size.engines * size.slots) / size.waiting));
  const refill = (): void => {
    for (let customer = 1; customer <= size.waiting; customer += 1) {
      const missing = depth - (network.waiting.get(customer)?.size ?? 0);
      for (let i = 0; i < missing; i += 1) submit(network, size, ids, random, customer);
    }
    network.at(network.now() + REFILL_MS, refill);
  };
  refill();
}

function submit(
  network: FakeNetwork,
  size: FleetRunSize,
  ids: readonly InstanceId[],
  random: Random,
  customer: number,
): void {
  network.submit({
    instance: ids[random.nextInt(ids.length)] as InstanceId,
    customer,
    pool: `pool${customer % size.pools}`,
    tokens: 1 + random.nextInt(2 * size.tokensPerRequest),
  });
}

function countFinishedJobs(network: FakeNetwork): number {
  let finished = 0;
  network.jobs.forEach((job) => {
    if (job.outcome === 'finished') finished += 1;
  });
  return finished;
}
