/**
 * Continuous batching: at each step every sequence in the batch yields one token, a place that gets
 * free goes to the sequence that waits longest. There are no priorities. Prompts are processed
 * (prefill) at a rate that all sequences of the batch share.
 */
import type { Millis } from '../core/clock.js';
import { MS_PER_SECOND } from '../core/clock.js';

/** Steps made up for at once after the event loop was late; older ones are lost. */
const MAX_CATCH_UP_STEPS = 20;

/** Work of one request. */
export interface Sequence {
  /** Number of tokens of the complete answer. */
  readonly length: number;
  /** Index of the next token. */
  position: number;
  /** Prompt tokens still to be processed before the first token. */
  prefillLeft: number;
}

export interface BatchOptions<S extends Sequence> {
  /** Sequences processed at the same time. */
  readonly slots: number;
  /** Time between two tokens of a sequence; 0 runs as fast as the event loop. */
  readonly tokenIntervalMs: Millis;
  /** Prompt tokens processed in a second, shared by the batch. */
  readonly prefillTokensPerSecond: number;
  readonly onAdmitted: (sequence: S) => void;
  readonly onToken: (sequence: S, index: number) => void;
  readonly onFinished: (sequence: S) => void;
}

/** Counters since the start of the batch. */
export interface BatchStats {
  readonly tokens: number;
  readonly prefillTokens: number;
  /** Time that slots were taken, summed over the slots. */
  readonly busySlotMs: Millis;
  readonly elapsedMs: Millis;
}

export interface Batch<S extends Sequence> {
  add: (sequence: S) => void;
  /** Takes a sequence out for good; false if it is not there. */
  remove: (sequence: S) => boolean;
  /** Takes a sequence out of the batch or the queue but keeps its progress. */
  suspend: (sequence: S) => boolean;
  /** Puts a suspended sequence at the end of the queue. */
  resume: (sequence: S) => boolean;
  running: () => number;
  queued: () => number;
  suspended: () => number;
  /** Stops and restarts all progress. */
  setPaused: (paused: boolean) => void;
  /** Multiplies the time between tokens. */
  setSlowdown: (factor: number) => void;
  /** Drops all sequences without a call to any listener. */
  clear: () => void;
  stats: () => BatchStats;
}

/** Creates an empty batch. Its timer runs only while there is work. */
export function createBatch<S extends Sequence>(options: BatchOptions<S>): Batch<S> {
  const running = new Set<S>();
  const queue = new Set<S>();
  const suspended = new Set<S>();
  const startedAt = performance.now();
  let tokens = 0;
  let prefillTokens = 0;
  let busySlotMs = 0;
  let countedAt = startedAt;
  let slowdown = 1;
  let paused = false;
  let timer: NodeJS.Timeout | NodeJS.Immediate | undefined;
  let dueAt = 0;

  const interval = () => options.tokenIntervalMs * slowdown;

  function countBusyTime(): void {
    const now = performance.now();
    busySlotMs += running.size * (now - countedAt);
    countedAt = now;
  }

  function admit(): void {
    countBusyTime();
    for (const sequence of queue) {
      if (running.size >= options.slots) return;
      queue.delete(sequence);
      running.add(sequence);
      options.onAdmitted(sequence);
    }
  }

  function takeOut(sequence: S): boolean {
    countBusyTime();
    return running.delete(sequence) || queue.delete(sequence);
  }

  /** Prompt tokens that a step can process. */
  function prefillBudget(): number {
    const perStep = (options.prefillTokensPerSecond * options.tokenIntervalMs) / MS_PER_SECOND;
    return perStep > 0 ? perStep : Infinity;
  }

  function finish(sequence: S): void {
    takeOut(sequence);
    options.onFinished(sequence);
  }

  function step(): void {
    admit();
    let budget = prefillBudget();
    for (const sequence of [...running]) {
      if (!running.has(sequence)) continue;
      if (sequence.prefillLeft > 0) {
        const done = Math.min(budget, sequence.prefillLeft);
        budget -= done;
        prefillTokens += done;
        sequence.prefillLeft -= done;
        continue;
      }
      const index = sequence.position;
      if (index < sequence.length) {
        sequence.position += 1;
        tokens += 1;
        options.onToken(sequence, index);
      }
      if (sequence.position >= sequence.length && running.has(sequence)) finish(sequence);
    }
    admit();
  }

  function run(): void {
    timer = undefined;
    if (paused) return;
    const now = performance.now();
    let steps = 0;
    do {
      step();
      steps += 1;
      dueAt += interval();
    } while (interval() > 0 && dueAt <= now && steps < MAX_CATCH_UP_STEPS && running.size > 0);
    if (dueAt < now) dueAt = now;
    schedule();
  }

  function schedule(): void {
    if (timer !== undefined || paused || running.size + queue.size === 0) return;
    timer =
      interval() > 0 ? setTimeout(run, Math.max(0, dueAt - performance.now())) : setImmediate(run);
  }

  function wake(): void {
    if (timer !== undefined || paused) return;
    dueAt = performance.now() + interval();
    schedule();
  }

  function stopTimer(): void {
    if (timer === undefined) return;
    clearTimeout(timer as NodeJS.Timeout);
    clearImmediate(timer as NodeJS.Immediate);
    timer = undefined;
  }

  return {
    add: (sequence) => {
      queue.add(sequence);
      admit();
      wake();
    },
    remove: (sequence) => takeOut(sequence) || suspended.delete(sequence),
    suspend: (sequence) => {
      if (!takeOut(sequence)) return false;
      suspended.add(sequence);
      admit();
      return true;
    },
    resume: (sequence) => {
      if (!suspended.delete(sequence)) return false;
      queue.add(sequence);
      admit();
      wake();
      return true;
    },
    running: () => running.size,
    queued: () => queue.size,
    suspended: () => suspended.size,
    setPaused: (value) => {
      paused = value;
      if (paused) stopTimer();
      else wake();
    },
    setSlowdown: (factor) => {
      slowdown = factor;
    },
    clear: () => {
      countBusyTime();
      stopTimer();
      [running, queue, suspended].forEach((set) => set.clear());
    },
    stats: () => {
      countBusyTime();
      return { tokens, prefillTokens, busySlotMs, elapsedMs: performance.now() - startedAt };
    },
  };
}
