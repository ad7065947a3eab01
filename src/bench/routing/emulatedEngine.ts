/**
 * A model engine in simulated time: continuous batching with chunked prefill. In each step every
 * running request whose prompt has been read makes one token, and a chunk of prompt tokens is read
 * in order of arrival. Parts of prompts are kept in memory and yield in order of last use; a request
 * for whose memory there is no room waits.
 *
 * Left out: preemption, swapped memory, and the dependence of a step's time on the context.
 */
import type { Millis } from '../../core/clock.js';
import type { PrefixPart } from '../../routing/types.js';
import type { Simulation } from './simulation.js';

export interface EngineModel {
  /** Requests that run at a time. */
  readonly slots: number;
  /** Tokens that running requests and kept parts have room for. */
  readonly memoryTokens: number;
  /** Time of a step, and what each running request adds. */
  readonly stepMs: Millis;
  readonly stepMsPerRequest: Millis;
  readonly readTokensPerMs: number;
  /** Prompt tokens that are read in one step at most. */
  readonly chunkTokens: number;
  /** Time that each request takes before its first step. */
  readonly startMs: Millis;
}

export interface EngineJob {
  readonly id: number;
  readonly parts: readonly PrefixPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly onFirst: () => void;
  readonly onEnded: () => void;
}

export interface EmulatedEngine {
  readonly submit: (job: EngineJob) => void;
  readonly cancel: (id: number) => void;
  /** Ends all work without an answer; returns the jobs. */
  readonly crash: () => readonly number[];
  /** Makes all steps longer by a factor. */
  readonly slowDown: (factor: number) => void;
}

export interface EmulatedEngineOptions {
  readonly simulation: Simulation;
  readonly model: EngineModel;
  /** Called with what a request has to read as it begins. */
  readonly onRead: (parts: readonly PrefixPart[], firstUncached: number, tokens: number) => void;
}

interface RunningJob {
  readonly job: EngineJob;
  unread: number;
  made: number;
}

export function createEmulatedEngine(options: EmulatedEngineOptions): EmulatedEngine {
  const { simulation, model } = options;
  const kept = new Map<string, number>();
  let keptTokens = 0;
  let heldTokens = 0;
  let waiting: EngineJob[] = [];
  let running: RunningJob[] = [];
  let isStepping = false;
  let slowness = 1;
  let life = 0;

  const needOf = (job: EngineJob) => job.promptTokens + job.outputTokens;

  function evictFor(tokens: number): void {
    for (const [id, size] of kept) {
      if (heldTokens + keptTokens + tokens <= model.memoryTokens) return;
      kept.delete(id);
      keptTokens -= size;
    }
  }

  function begin(job: EngineJob): void {
    const found = job.parts.findIndex(({ id }) => !kept.has(id));
    const firstUncached = found === -1 ? job.parts.length : found;
    const cached = job.parts.slice(0, firstUncached);
    cached.forEach(touch);
    const unread = job.promptTokens - cached.reduce((sum, { tokens }) => sum + tokens, 0);
    options.onRead(job.parts, firstUncached, unread);
    evictFor(needOf(job));
    heldTokens += needOf(job);
    running.push({ job, unread: Math.max(1, unread), made: 0 });
  }

  function touch({ id, tokens }: PrefixPart): void {
    if (!kept.delete(id)) keptTokens += tokens;
    kept.set(id, tokens);
  }

  function admit(): void {
    while (running.length < model.slots) {
      const [next] = waiting;
      if (next === undefined || heldTokens + needOf(next) > model.memoryTokens) return;
      waiting.shift();
      begin(next);
    }
  }

  function step(): void {
    admit();
    isStepping = running.length > 0;
    if (!isStepping) return;
    let budget = model.chunkTokens;
    const reading: { run: RunningJob; tokens: number }[] = [];
    running.forEach((run) => {
      const tokens = Math.min(budget, run.unread);
      if (tokens === 0) return;
      budget -= tokens;
      reading.push({ run, tokens });
    });
    const read = model.chunkTokens - budget;
    const durationMs =
      (model.stepMs + running.length * model.stepMsPerRequest + read / model.readTokensPerMs) *
      slowness;
    const making = running.filter(({ unread }) => unread === 0);
    const current = life;
    simulation.after(durationMs, () => {
      if (current !== life) return;
      reading.forEach(({ run, tokens }) => {
        run.unread -= tokens;
        if (run.unread === 0) making.push(run);
      });
      making.forEach(make);
      step();
    });
  }

  function make(run: RunningJob): void {
    if (!running.includes(run)) return;
    run.made += 1;
    if (run.made === 1) {
      run.job.parts.forEach(touch);
      run.job.onFirst();
    }
    if (run.made < run.job.outputTokens) return;
    remove(run);
    run.job.onEnded();
  }

  function remove(run: RunningJob): void {
    running = running.filter((other) => other !== run);
    heldTokens -= needOf(run.job);
  }

  function wake(): void {
    if (isStepping) return;
    isStepping = true;
    simulation.after(0, step);
  }

  return {
    submit: (job) => {
      const current = life;
      simulation.after(model.startMs * slowness, () => {
        if (current !== life) return;
        waiting.push(job);
        wake();
      });
    },
    cancel: (id) => {
      waiting = waiting.filter((job) => job.id !== id);
      const run = running.find(({ job }) => job.id === id);
      if (run !== undefined) remove(run);
    },
    crash: () => {
      life += 1;
      const lost = [...waiting.map(({ id }) => id), ...running.map(({ job }) => job.id)];
      waiting = [];
      running = [];
      kept.clear();
      keptTokens = 0;
      heldTokens = 0;
      isStepping = false;
      return lost;
    },
    slowDown: (factor) => {
      slowness = factor;
    },
  };
}
