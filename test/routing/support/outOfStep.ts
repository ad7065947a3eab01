/**
 * A fleet while upstreams of a second software version join, and one instance that is out of step. Streams
 * that begin at the other instances break and are taken up at that one.
 */
import { createRandom } from '../../../src/core/random.js';
import type { AttemptPlan, ListedUpstream, RoutingEffect } from '../../../src/routing/types.js';
import { createFacts, createUpstreamEntry } from './core.js';
import { createFakePlatform } from './fakePlatform.js';
import { createTimedFleet, type TimedCore } from './timedFleet.js';

export type Trouble = 'none' | 'cut' | 'cutFromStoreToo' | 'frozen';

export interface OutOfStepOptions {
  readonly seed: number;
  readonly trouble: Trouble;
  readonly forMs: number;
}

export interface OutOfStepRun {
  /** Streams that went on at another version than the one that began them. */
  readonly mixed: number;
  /** Take-ups at the instance that were sent or refused, before the second version joined. */
  readonly before: { readonly sent: number; readonly refused: number };
  /** The same while it was out of step, for streams of either version. */
  readonly during: { readonly sent: number; readonly refused: number };
  /** Streams that the second version began within the run. */
  readonly begunAtSecond: number;
}

const EVENT_MS = 3;
const JOIN_AT_MS = 15_000;
const BEGIN_MS = 5_000;
const STREAM_INTERVAL_MS = 15;
/** Longest time after which a stream breaks and is taken up. */
const MAX_LIFE_MS = 400;
const AFTER_MS = 4_000;
const CHAT = { path: '/chat/1', deadlineMs: 10_000 };

export function runOutOfStep({ seed, trouble, forMs }: OutOfStepOptions): OutOfStepRun {
  const random = createRandom(seed);
  // The second version joins at some time while the instance is out of step.
  const troubleAt = JOIN_AT_MS - random.next() * Math.min(forMs, 4_000);
  const endsAt = troubleAt + forMs;
  const clock = { now: () => 0 };
  const isTroubled = () => clock.now() >= troubleAt && clock.now() < endsAt;
  const run = {
    mixed: 0,
    before: { sent: 0, refused: 0 },
    during: { sent: 0, refused: 0 },
    begunAtSecond: 0,
  };
  const list: { readonly entry: ListedUpstream; readonly from: number }[] = ['v1', 'v2'].flatMap(
    (version, v) =>
      [1, 2].map((i) => ({
        entry: createUpstreamEntry(`i-${10 * v + i}`, { version, startedAt: v + 1, beat: 1 }),
        from: v * JOIN_AT_MS,
      })),
  );
  const versionBy = new Map(list.map(({ entry }) => [entry.id, entry.version]));
  /** Versions that began streams, by the number of the request. */
  const begun = new Map<number, string>();
  const takeUps = new Map<number, number>();
  let requests = 0;

  const isOut = (id: string) => id === 'd0-0';
  const fleet = createTimedFleet({
    domains: 3,
    perDomain: 3,
    isCut: (from, to) =>
      trouble.startsWith('cut') && isTroubled() && (isOut(from.id) || isOut(to.id)),
    frozenUntil: ({ id }) => (trouble === 'frozen' && isOut(id) && isTroubled() ? endsAt : 0),
    onEffect,
  });
  const { simulation, dispatch, cores } = fleet;
  clock.now = simulation.now;
  const [out] = cores as [TimedCore];

  const answerRead = createFakePlatform({
    fleet: () => fleet,
    listed: () => list.filter(({ from }) => from <= clock.now()).map(({ entry }) => entry),
    isCut: ({ self }) => trouble === 'cutFromStoreToo' && isOut(self.id) && isTroubled(),
  });

  function onEffect(core: TimedCore, effect: RoutingEffect): void {
    answerRead(core, effect);
    switch (effect.kind) {
      case 'send':
        onSend(core, effect.plan);
        return;
      case 'answer':
        if (takeUps.has(effect.answer.request)) count('refused');
        break;
      default:
    }
  }

  function onSend(core: TimedCore, { request, attempt, upstream }: AttemptPlan): void {
    const version = versionBy.get(upstream) ?? '';
    const taken = takeUps.get(request);
    if (taken !== undefined) {
      count('sent');
      if (begun.get(taken) !== version) run.mixed += 1;
      simulation.after(EVENT_MS, () => dispatch(core, { kind: 'callerGone', request }));
      return;
    }
    simulation.after(EVENT_MS, () => {
      begun.set(request, version);
      if (version === 'v2') run.begunAtSecond += 1;
      dispatch(core, { kind: 'attemptAnswered', attempt, status: 200 });
      dispatch(core, { kind: 'attemptProgress', attempt });
      simulation.after(random.next() * MAX_LIFE_MS, () => takeUpStream(core, request));
    });
  }

  function takeUpStream(core: TimedCore, began: number): void {
    dispatch(core, { kind: 'callerGone', request: began });
    requests += 1;
    const request = requests;
    takeUps.set(request, began);
    const facts = createFacts(request, { ...CHAT, takesUp: { beganAs: `r${began}` } });
    dispatch(out, { kind: 'requestArrived', facts });
  }

  function count(outcome: 'sent' | 'refused'): void {
    if (simulation.now() < Math.min(JOIN_AT_MS, troubleAt)) run.before[outcome] += 1;
    else if (simulation.now() <= endsAt) run.during[outcome] += 1;
  }

  function beginStream(): void {
    requests += 1;
    const core = cores[1 + Math.floor(random.next() * (cores.length - 1))] as TimedCore;
    dispatch(core, { kind: 'requestArrived', facts: createFacts(requests, CHAT) });
  }

  const until = Math.max(endsAt, JOIN_AT_MS) + AFTER_MS;
  for (let at = BEGIN_MS; at < until; at += STREAM_INTERVAL_MS) simulation.at(at, beginStream);
  simulation.runUntil(until);
  return run;
}
