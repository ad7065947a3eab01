/** Routing cores that exchange messages at their own intervals, over links with delay and loss. */
import { createSimulation, type Simulation } from '../../../src/bench/routing/simulation.js';
import { createRandom } from '../../../src/core/random.js';
import type { RoutingContext } from '../../../src/routing/context.js';
import { createRouting, type Routing } from '../../../src/routing/routing.js';
import type {
  InstanceIdentity,
  RoutingEffect,
  RoutingEvent,
  RoutingTimer,
} from '../../../src/routing/types.js';
import { createConfiguration } from './core.js';

const SAME_REGION_MS = 0.5;
const OTHER_REGION_MS = 12;

export interface TimedCore {
  readonly self: InstanceIdentity;
  readonly routing: Routing;
}

export interface TimedFleet {
  readonly simulation: Simulation;
  readonly cores: readonly TimedCore[];
  readonly context: (core: TimedCore) => RoutingContext;
  /** Passes an event to a core, and runs the effects. */
  readonly dispatch: (core: TimedCore, event: RoutingEvent) => void;
  /** Number of crash entries in all messages sent so far. */
  readonly entriesSent: () => number;
  /** Starts an instance that knows nothing, in place of an existing one. */
  readonly restart: (index: number) => TimedCore;
}

export interface TimedFleetOptions {
  readonly domains: number;
  readonly perDomain: number;
  /** Share of the messages that are lost. */
  readonly loss?: number;
  readonly isCut?: (from: InstanceIdentity, to: InstanceIdentity) => boolean;
  /** Returns until when an instance stands still; what happens to it meanwhile reaches it then. */
  readonly frozenUntil?: (instance: InstanceIdentity) => number;
  /** Runs the effects other than timers and messages. */
  readonly onEffect?: (core: TimedCore, effect: RoutingEffect) => void;
}

export function createTimedFleet(options: TimedFleetOptions): TimedFleet {
  const { domains, perDomain, loss = 0, isCut = () => false, frozenUntil, onEffect } = options;
  const simulation = createSimulation();
  const random = createRandom(7);
  const cores: TimedCore[] = [];
  const timers = new Map<TimedCore, Map<RoutingTimer, number>>();
  const byId = new Map<string, TimedCore>();
  let entries = 0;

  function identity(index: number, incarnation: number): InstanceIdentity {
    const domain = `d${index % domains}`;
    const id = `${domain}-${Math.floor(index / domains)}`;
    return { id, incarnation, address: id, domain, region: `r${index % domains}` };
  }

  function dispatch(core: TimedCore, event: RoutingEvent): void {
    const wakesAt = frozenUntil?.(core.self) ?? 0;
    if (wakesAt > simulation.now()) {
      simulation.at(wakesAt, () => dispatch(core, event));
      return;
    }
    core.routing.reduce(event, simulation.now()).forEach((effect) => {
      if (effect.kind === 'setTimer') setTimer(core, effect.timer, effect.at);
      else onEffect?.(core, effect);
      if (effect.kind !== 'sendPeer' || effect.message.$case !== 'routingNews') return;
      const to = byId.get(effect.to);
      if (to === undefined) return;
      const { value: message } = effect.message;
      entries += message.suspectNews?.crashes.length ?? 0;
      if (random.next() < loss || isCut(core.self, to.self)) return;
      const { id: from, incarnation, region } = core.self;
      const delay = region === to.self.region ? SAME_REGION_MS : OTHER_REGION_MS;
      simulation.after(delay, () => {
        const receiver = byId.get(effect.to);
        if (receiver === undefined) return;
        dispatch(receiver, { kind: 'peerMessage', from, incarnation, message });
      });
    });
  }

  function setTimer(core: TimedCore, timer: RoutingTimer, at: number): void {
    const pending = timers.get(core) ?? new Map<RoutingTimer, number>();
    timers.set(core, pending);
    pending.set(timer, at);
    simulation.at(at, () => {
      if (pending.get(timer) !== at || byId.get(core.self.id) !== core) return;
      pending.delete(timer);
      dispatch(core, { kind: 'timer', timer });
    });
  }

  function start(index: number, incarnation: number): TimedCore {
    const self = identity(index, incarnation);
    const core = { self, routing: createRouting({ self, seed: index + 1 }) };
    cores[index] = core;
    byId.set(self.id, core);
    simulation.after(random.next() * 500, () => {
      const read = { askedAt: simulation.now(), isWhole: true } as const;
      const changes = [{ kind: 'configured', configuration: createConfiguration() } as const];
      dispatch(core, { kind: 'start' });
      dispatch(core, {
        kind: 'configurationPolled',
        ...read,
        outcome: { kind: 'answered', cursor: 1, changes },
      });
      const others = Array.from({ length: domains * perDomain }, (_, i) => identity(i, 1));
      dispatch(core, {
        kind: 'instancesPolled',
        askedAt: 0,
        isWhole: true,
        outcome: { kind: 'answered', cursor: 1, changes: others },
      });
    });
    return core;
  }

  for (let i = 0; i < domains * perDomain; i += 1) start(i, 1);
  return {
    simulation,
    cores,
    context: ({ routing }) => ({ state: routing.state, now: simulation.now(), effects: [] }),
    dispatch,
    entriesSent: () => entries,
    restart: (index) => start(index, 2),
  };
}
