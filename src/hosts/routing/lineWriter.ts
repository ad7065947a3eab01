/**
 * Writes log lines to a file descriptor without blocking the event loop: one asynchronous write at a
 * time from a bounded buffer. Each line class has a budget of lines per second. Lines that exceed the
 * buffer or the budget are dropped and counted.
 */
import { write } from 'node:fs';
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';

export interface LineWriterOptions {
  readonly fd: number;
  readonly now: () => Millis;
  /** Maximum size of the buffer; lines beyond it are dropped. */
  readonly maxBufferedBytes?: number;
  /** Writes all bytes, then calls `done` once; uses `fs.write` by default. */
  readonly writeBytes?: (fd: number, bytes: Uint8Array, done: (err: Error | null) => void) => void;
  /** Lines per second; failures and rejections have a larger budget than expected events. */
  readonly budgets?: Readonly<Record<LineClass, number>>;
  /** Formats the line that reports the number of dropped lines. */
  readonly omittedLine: (count: number) => string;
}

export type LineClass = 'expected' | 'failure';

export interface LineWriter {
  readonly write: (line: string, lineClass: LineClass) => void;
  /** Total number of dropped lines. */
  readonly omitted: () => number;
  /** Resolves once all buffered lines have been written. */
  readonly flush: () => Promise<void>;
}

const DEFAULTS = {
  maxBufferedBytes: 256 * 1024,
  budgets: { expected: 200, failure: 400 },
} as const;
/** Delay of a write, which batches lines to reduce the number of writes. */
const FLUSH_DELAY_MS: Millis = 50;

export function createLineWriter(options: LineWriterOptions): LineWriter {
  const cfg = { ...DEFAULTS, ...options };
  const writeBytes =
    options.writeBytes ??
    ((fd, bytes, done) => {
      write(fd, bytes, (err, written) => {
        if (err !== null || written === bytes.length) done(err);
        else writeBytes(fd, bytes.subarray(written), done);
      });
    });
  const linesInSecond = { expected: 0, failure: 0 };
  let currentSecond = -1;
  let buffered: string[] = [];
  let bufferedBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let omitted = 0;
  let reportedOmissions = 0;
  let flushWaiters: (() => void)[] = [];

  function takeFromBudget(lineClass: LineClass): boolean {
    const now = Math.floor(cfg.now() / MS_PER_SECOND);
    if (now !== currentSecond) {
      currentSecond = now;
      linesInSecond.expected = 0;
      linesInSecond.failure = 0;
    }
    linesInSecond[lineClass] += 1;
    return linesInSecond[lineClass] <= cfg.budgets[lineClass];
  }

  function buffer(line: string): void {
    buffered.push(line);
    bufferedBytes += line.length + 1;
    timer ??= setTimeout(flushBuffer, FLUSH_DELAY_MS);
  }

  function flushBuffer(): void {
    timer = undefined;
    if (isWriting) return;
    if (omitted > reportedOmissions) {
      buffered.push(cfg.omittedLine(omitted - reportedOmissions));
      reportedOmissions = omitted;
    }
    if (buffered.length === 0) {
      flushWaiters.forEach((resolve) => resolve());
      flushWaiters = [];
      return;
    }
    const bytes = Buffer.from(`${buffered.join('\n')}\n`);
    buffered = [];
    bufferedBytes = 0;
    isWriting = true;
    writeBytes(cfg.fd, bytes, (err) => {
      isWriting = false;
      // If the reader is gone the lines are lost; a later write may succeed with another reader.
      if (err !== null) omitted += 1;
      if (buffered.length > 0 || flushWaiters.length > 0) flushBuffer();
    });
  }

  return {
    write: (line, lineClass) => {
      if (bufferedBytes + line.length > cfg.maxBufferedBytes || !takeFromBudget(lineClass)) {
        omitted += 1;
        return;
      }
      buffer(line);
    },
    omitted: () => omitted,
    flush: async () =>
      new Promise((resolve) => {
        flushWaiters.push(resolve);
        flushBuffer();
      }),
  };
}
