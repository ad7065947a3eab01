/** A fake of the platform's log at the interface of effects and events. */
import type { Millis } from '../../core/clock.js';
import type { Random } from '../../core/random.js';
import type { AppendResult, LogReadResult, StreamRecord } from '../../core/types.js';
import type { Schedule } from './schedule.js';

export interface FakeLogFaults {
  isDown: boolean;
  /** Time of a round trip. */
  delayMs: Millis;
  /** Share of replies to appends that are lost after the append took effect. */
  lostReplies: number;
}

export interface FakeLog {
  readonly faults: FakeLogFaults;
  readonly append: (
    stream: string,
    records: readonly string[],
    reply: (result: AppendResult) => void,
  ) => void;
  readonly read: (
    stream: string,
    from: number,
    limit: number,
    waitMs: Millis,
    reply: (result: LogReadResult) => void,
  ) => void;
  /** Number of appends that were asked for, and the records that reads returned. */
  readonly counts: { appends: number; recordsAppended: number; recordsRead: number };
}

export interface FakeLogOptions {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly delayMs: Millis;
  readonly retentionMs: Millis;
}

interface Kept extends StreamRecord {
  readonly at: Millis;
}

interface Stream {
  readonly kept: Kept[];
  oldest: number;
  next: number;
  waiters: (() => void)[];
}

export function createFakeLog(options: FakeLogOptions): FakeLog {
  const { schedule, random, retentionMs } = options;
  const streams = new Map<string, Stream>();
  const faults: FakeLogFaults = { isDown: false, delayMs: options.delayMs, lostReplies: 0 };
  const counts = { appends: 0, recordsAppended: 0, recordsRead: 0 };

  const streamOf = (name: string): Stream => {
    const stream = streams.get(name) ?? { kept: [], oldest: 0, next: 0, waiters: [] };
    streams.set(name, stream);
    while (stream.kept[0] !== undefined && stream.kept[0].at < schedule.now() - retentionMs) {
      stream.oldest = (stream.kept.shift() as Kept).offset + 1;
    }
    return stream;
  };

  /** Calls `there` when the message arrives; what it returns travels back to `reply`. */
  const roundTrip = <T>(there: () => T, reply: (result: T) => void) => {
    const half = faults.delayMs / 2;
    schedule.after(half, () => {
      const result = there();
      schedule.after(half, () => reply(result));
    });
  };

  const store = (name: string, records: readonly string[]): number => {
    const stream = streamOf(name);
    const offset = stream.next;
    records.forEach((data) => {
      stream.kept.push({ offset: stream.next, data, at: schedule.now() });
      stream.next += 1;
    });
    counts.recordsAppended += records.length;
    const { waiters } = stream;
    stream.waiters = [];
    waiters.forEach((wake) => wake());
    return offset;
  };

  const append: FakeLog['append'] = (name, records, reply) => {
    counts.appends += 1;
    roundTrip<AppendResult>(() => {
      if (faults.isDown) return { kind: 'rejected', detail: 'down' };
      const offset = store(name, records);
      const isLost = random.next() < faults.lostReplies;
      return isLost ? { kind: 'unknown', detail: 'lost' } : { kind: 'appended', offset };
    }, reply);
  };

  const take = (stream: Stream, from: number, limit: number): LogReadResult => {
    if (faults.isDown) return { kind: 'failed', detail: 'down' };
    if (from < stream.oldest) return { kind: 'expired', oldest: stream.oldest };
    const records = stream.kept.slice(from - stream.oldest, from - stream.oldest + limit);
    counts.recordsRead += records.length;
    return { kind: 'records', records, next: (records.at(-1)?.offset ?? from - 1) + 1 };
  };

  const read: FakeLog['read'] = (name, from, limit, waitMs, reply) => {
    const half = faults.delayMs / 2;
    schedule.after(half, () => {
      const stream = streamOf(name);
      let isDone = false;
      const answer = () => {
        if (isDone) return;
        isDone = true;
        const result = take(streamOf(name), from, limit);
        schedule.after(half, () => reply(result));
      };
      if (faults.isDown || from < stream.next || waitMs === 0) {
        answer();
        return;
      }
      stream.waiters.push(answer);
      schedule.after(waitMs, answer);
    });
  };

  return { faults, append, read, counts };
}
