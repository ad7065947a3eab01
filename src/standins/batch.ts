/**
 * Continuous batching: each step generates one token for every sequence in the batch whose prompt is
 * processed, and a freed slot is assigned to the sequence at the head of a FIFO queue. There are no
 * priorities. Prompt processing (prefill) has a rate that all sequences of the batch share.
 */
import type { Millis } from '../core/clock.js';
import { MS_PER_SECOND } from '../core/clock.js';

/** Maximum number of overdue steps executed at once after an event loop delay; the rest are skipped. */
const MAX_CATCH_UP_STEPS = 20;

/** Generation progress of one request. */
export interface Sequence {
  /** Number of tokens in the complete answer. */
  readonly length: number;
  /** Index of the next token. */
  position: number;
  /** Prompt tokens that remain to be processed before the first token. */
  remainingPrefill: number;
}

export interface BatchOptions<S extends Sequence> {
  /** Maximum number of sequences in the batch. */
  readonly slots: number;
  /** Time between two tokens of a sequence; with 0 a step runs in every event loop iteration. */
  readonly tokenIntervalMs: Millis;
  /** Prefill rate, shared by the sequences of the batch. */
  readonly prefillTokensPerSecond: number;
  readonly onAdmitted: (sequence: S) => void;
  readonly onToken: (sequence: S, index: number) => void;
  readonly onFinished: (sequence: S) => void;
}

/** Counters since the creation of the batch. */
export interface BatchStats {
  readonly tokens: number;
  readonly prefillTokens: number;
  /** Time during which slots were in use, summed over all slots. */
  readonly busySlotMs: Millis;
  readonly elapsedMs: Millis;
}

export interface Batch<S extends Sequence> {
  add: (sequence: S) => void;
  /** Removes a sequence from the batch, the queue or the suspended ones; false if it is in none. */
  remove: (sequence: S) => boolean;
  /** Moves a sequence out of the batch or the queue and keeps its progress. */
  suspend: (sequence: S) => boolean;
  /** Appends a suspended sequence to the queue. */
  resume: (sequence: S) => boolean;
  running: () => number;
  queued: () => number;
  suspended: () => number;
  /** Pauses or continues the processing of all sequences. */
  setPaused: (paused: boolean) => void;
  /** Multiplies the time between tokens. */
  setSlowdown: (factor: number) => void;
  /** Removes all sequences without calling any listener. */
  clear: () => void;
  stats: () => BatchStats;
}

/** Creates an empty batch. Its timer runs only while there are sequences to process. */
export function createBatch<S extends Sequence>(options: BatchOptions<S>): Batch<S> {
  const running = new Set<S>();
  const queue = new Set<S>();
  const suspended = new Set<S>();
  const startedAt = performance.now();
  let tokens = 0;
  let prefillTokens = 0;
  let busySlotMs = 0;
  let busyTimeUpdatedAt = startedAt;
  let slowdown = 1;
  let paused = false;
  let timer: NodeJS.Timeout | NodeJS.Immediate | undefined;
  let nextStepAt = 0;

  const stepInterval = () => options.tokenIntervalMs * slowdown;

  function updateBusyTime(): void {
    const now = performance.now();
    busySlotMs += running.size * (now - busyTimeUpdatedAt);
    busyTimeUpdatedAt = now;
  }

  function admit(): void {
    updateBusyTime();
    for (const sequence of queue) {
      if (running.size >= options.slots) return;
      queue.delete(sequence);
      running.add(sequence);
      options.onAdmitted(sequence);
    }
  }

  function removeActive(sequence: S): boolean {
    updateBusyTime();
    return running.delete(sequence) || queue.delete(sequence);
  }

  /** Maximum number of prompt tokens processed in one step. */
  function prefillPerStep(): number {
    const perStep = (options.prefillTokensPerSecond * options.tokenIntervalMs) / MS_PER_SECOND;
    return perStep > 0 ? perStep : Infinity;
  }

  function finish(sequence: S): void {
    removeActive(sequence);
    options.onFinished(sequence);
  }

  function step(): void {
    admit();
    let budget = prefillPerStep();
    for (const sequence of [...running]) {
      if (!running.has(sequence)) continue;
      if (sequence.remainingPrefill > 0) {
        const processed = Math.min(budget, sequence.remainingPrefill);
        budget -= processed;
        prefillTokens += processed;
        sequence.remainingPrefill -= processed;
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

  function runDueSteps(): void {
    timer = undefined;
    if (paused) return;
    const now = performance.now();
    let steps = 0;
    do {
      step();
      steps += 1;
      nextStepAt += stepInterval();
    } while (
      stepInterval() > 0 &&
      nextStepAt <= now &&
      steps < MAX_CATCH_UP_STEPS &&
      running.size > 0
    );
    if (nextStepAt < now) nextStepAt = now;
    schedule();
  }

  function schedule(): void {
    if (timer !== undefined || paused || running.size + queue.size === 0) return;
    timer =
      stepInterval() > 0
        ? setTimeout(runDueSteps, Math.max(0, nextStepAt - performance.now()))
        : setImmediate(runDueSteps);
  }

  function startTimer(): void {
    if (timer !== undefined || paused) return;
    nextStepAt = performance.now() + stepInterval();
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
      startTimer();
    },
    remove: (sequence) => removeActive(sequence) || suspended.delete(sequence),
    suspend: (sequence) => {
      if (!removeActive(sequence)) return false;
      suspended.add(sequence);
      admit();
      return true;
    },
    resume: (sequence) => {
      if (!suspended.delete(sequence)) return false;
      queue.add(sequence);
      admit();
      startTimer();
      return true;
    },
    running: () => running.size,
    queued: () => queue.size,
    suspended: () => suspended.size,
    setPaused: (value) => {
      paused = value;
      if (paused) stopTimer();
      else startTimer();
    },
    setSlowdown: (factor) => {
      slowdown = factor;
    },
    clear: () => {
      updateBusyTime();
      stopTimer();
      [running, queue, suspended].forEach((set) => set.clear());
    },
    stats: () => {
      updateBusyTime();
      return { tokens, prefillTokens, busySlotMs, elapsedMs: performance.now() - startedAt };
    },
  };
}
