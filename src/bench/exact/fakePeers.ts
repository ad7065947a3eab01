/** Fake links between instances, with delays and partitions. */
import type { Millis } from '../../core/clock.js';
import type { Random } from '../../core/random.js';
import type { InstanceId, PeerMessage } from '../../core/types.js';
import type { Schedule } from './schedule.js';

export interface FakePeers {
  /** The instances on one side of a partition; empty while there is no partition. */
  readonly cutOff: Set<InstanceId>;
  readonly send: (from: InstanceId, to: InstanceId, message: PeerMessage) => void;
  readonly counts: { messages: number };
}

export interface FakePeersOptions {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly delayMs: Millis;
  readonly deliver: (from: InstanceId, to: InstanceId, message: PeerMessage) => void;
}

export function createFakePeers(options: FakePeersOptions): FakePeers {
  const { schedule, random, delayMs, deliver } = options;
  const cutOff = new Set<InstanceId>();
  const counts = { messages: 0 };
  const send: FakePeers['send'] = (from, to, message) => {
    counts.messages += 1;
    if (cutOff.has(from) !== cutOff.has(to)) return;
    schedule.after(delayMs * (1 + random.next()), () => deliver(from, to, message));
  };
  return { cutOff, send, counts };
}
