/**
 * Writes log lines to a file descriptor without ever blocking the loop: one write at a time, by the
 * thread pool, and a bounded buffer. A budget of lines a second is kept for each level; what is left
 * out is counted.
 */
import { write } from 'node:fs';
import { MS_PER_SECOND, type Millis } from '../../core/clock.js';

export interface LineWriterOptions {
  readonly fd: number;
  readonly now: () => Millis;
  /** Bytes that wait for the reader; lines beyond that are left out. */
  readonly maxBufferedBytes?: number;
  /** Writes bytes and calls back once; the file system's by default. */
  readonly writeBytes?: (fd: number, bytes: Uint8Array, done: (err: Error | null) => void) => void;
  /** Lines a second; failures and refusals have a larger budget than what went as expected. */
  readonly budgets?: Readonly<Record<LineClass, number>>;
  /** Makes the line that tells how many were left out. */
  readonly omittedLine: (count: number) => string;
}

export type LineClass = 'expected' | 'failure';

export interface LineWriter {
  readonly write: (line: string, lineClass: LineClass) => void;
  /** Lines that were left out in all. */
  readonly omitted: () => number;
  /** Resolves when all that was taken has been written. */
  readonly flush: () => Promise<void>;
}

const DEFAULTS = {
  maxBufferedBytes: 256 * 1024,
  budgets: { expected: 200, failure: 400 },
} as const;
/** Lines are collected for this long, so that few writes are made. */
const COLLECT_MS: Millis = 50;

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
  const spent = { expected: 0, failure: 0 };
  let second = -1;
  let buffered: string[] = [];
  let bufferedBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let omitted = 0;
  let reported = 0;
  let waiting: (() => void)[] = [];

  function hasBudget(lineClass: LineClass): boolean {
    const now = Math.floor(cfg.now() / MS_PER_SECOND);
    if (now !== second) {
      second = now;
      spent.expected = 0;
      spent.failure = 0;
    }
    spent[lineClass] += 1;
    return spent[lineClass] <= cfg.budgets[lineClass];
  }

  function add(line: string): void {
    buffered.push(line);
    bufferedBytes += line.length + 1;
    timer ??= setTimeout(writeBuffered, COLLECT_MS);
  }

  function writeBuffered(): void {
    timer = undefined;
    if (isWriting) return;
    if (omitted > reported) {
      buffered.push(cfg.omittedLine(omitted - reported));
      reported = omitted;
    }
    if (buffered.length === 0) {
      waiting.forEach((resolve) => resolve());
      waiting = [];
      return;
    }
    const bytes = Buffer.from(`${buffered.join('\n')}\n`);
    buffered = [];
    bufferedBytes = 0;
    isWriting = true;
    writeBytes(cfg.fd, bytes, (err) => {
      isWriting = false;
      // A reader that is gone loses the lines; the next write may find another one.
      if (err !== null) omitted += 1;
      if (buffered.length > 0 || waiting.length > 0) writeBuffered();
    });
  }

  return {
    write: (line, lineClass) => {
      if (bufferedBytes + line.length > cfg.maxBufferedBytes || !hasBudget(lineClass)) {
        omitted += 1;
        return;
      }
      add(line);
    },
    omitted: () => omitted,
    flush: async () =>
      new Promise((resolve) => {
        waiting.push(resolve);
        writeBuffered();
      }),
  };
}
