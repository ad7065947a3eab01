/** Fake of the platform's log, driven by the core's effects and answering with events. */
import type { Millis } from '../../core/clock.js';
import type { Random } from '../../core/random.js';
import type { AppendResult, LogReadResult, StreamRecord } from '../../core/types.js';
import type { Schedule } from './schedule.js';

export interface FakeLogFaults {
  isDown: boolean;
  /** Round-trip time. */
  delayMs: Millis;
  /** Share of appends that take effect but whose reply is lost. */
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
  /** Appends requested, records stored by them, and records returned by reads. */
  readonly counts: { appends: number; recordsAppended: number; recordsRead: number };
}

export interface FakeLogOptions {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly delayMs: Millis;
  readonly retentionMs: Millis;
}

interface StoredRecord extends StreamRecord {
  readonly at: Millis;
}

interface Stream {
  readonly records: StoredRecord[];
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
    const stream = streams.get(name) ?? { records: [], oldest: 0, next: 0, waiters: [] };
    streams.set(name, stream);
    while (stream.records[0] !== undefined && stream.records[0].at < schedule.now() - retentionMs) {
      stream.oldest = (stream.records.shift() as StoredRecord).offset + 1;
    }
    return stream;
  };

  /** Calls `handleAtLog` after the one-way delay and passes its result to `reply` after the same delay. */
  const roundTrip = <T>(handleAtLog: () => T, reply: (result: T) => void) => {
    const oneWayMs = faults.delayMs / 2;
    schedule.after(oneWayMs, () => {
      const result = handleAtLog();
      schedule.after(oneWayMs, () => reply(result));
    });
  };

  const store = (name: string, records: readonly string[]): number => {
    const stream = streamOf(name);
    const offset = stream.next;
    records.forEach((data) => {
      stream.records.push({ offset: stream.next, data, at: schedule.now() });
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

  const readRecords = (stream: Stream, from: number, limit: number): LogReadResult => {
    if (faults.isDown) return { kind: 'failed', detail: 'down' };
    if (from < stream.oldest) return { kind: 'expired', oldest: stream.oldest };
    const records = stream.records.slice(from - stream.oldest, from - stream.oldest + limit);
    counts.recordsRead += records.length;
    return { kind: 'records', records, next: (records.at(-1)?.offset ?? from - 1) + 1 };
  };

  const read: FakeLog['read'] = (name, from, limit, waitMs, reply) => {
    const oneWayMs = faults.delayMs / 2;
    schedule.after(oneWayMs, () => {
      const stream = streamOf(name);
      let isCompleted = false;
      const complete = () => {
        if (isCompleted) return;
        isCompleted = true;
        const result = readRecords(streamOf(name), from, limit);
        schedule.after(oneWayMs, () => reply(result));
      };
      if (faults.isDown || from < stream.next || waitMs === 0) {
        complete();
        return;
      }
      stream.waiters.push(complete);
      schedule.after(waitMs, complete);
    });
  };

  return { faults, append, read, counts };
}
