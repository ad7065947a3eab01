/**
 * Simulates a model engine with continuous batching and chunked prefill. In each step, every
 * running request whose prefill is complete generates one token, and a chunk of prompt tokens is
 * prefilled in order of arrival. Prompt parts are cached with LRU eviction. A request waits until
 * there is memory for its prompt and output.
 *
 * Not modeled: preemption, swapping, and the dependence of the step time on the context length.
 */
import type { Millis } from '../../core/clock.js';
import type { PrefixPart } from '../../routing/types.js';
import type { Simulation } from './simulation.js';

export interface EngineModel {
  /** Maximum number of requests that run concurrently. */
  readonly slots: number;
  /** Memory capacity in tokens, shared by running requests and cached parts. */
  readonly memoryTokens: number;
  /** Base duration of a step, and the addition for each running request. */
  readonly stepMs: Millis;
  readonly stepMsPerRequest: Millis;
  /** Prefill speed. */
  readonly prefillTokensPerMs: number;
  /** Maximum number of prompt tokens that are prefilled in one step. */
  readonly chunkTokens: number;
  /** Delay between the submission of a request and its admission to the queue. */
  readonly startMs: Millis;
}

export interface EngineJob {
  readonly id: number;
  readonly parts: readonly PrefixPart[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly onFirstToken: () => void;
  /** Called at intervals of `PROGRESS_TOKENS` after the first token. */
  readonly onProgress?: () => void;
  readonly onCompleted: () => void;
}

/** Tokens between two reports of progress. */
const PROGRESS_TOKENS = 16;

export interface EmulatedEngine {
  readonly submit: (job: EngineJob) => void;
  readonly cancel: (id: number) => void;
  /** Drops all jobs and the cache; returns the ids of the jobs. */
  readonly crash: () => readonly number[];
  /** Multiplies the duration of all steps by a factor. */
  readonly slowDown: (factor: number) => void;
}

export interface EmulatedEngineOptions {
  readonly simulation: Simulation;
  readonly model: EngineModel;
  /** Called when a job starts, with its parts and the number of tokens to prefill. */
  readonly onPrefill: (parts: readonly PrefixPart[], firstUncached: number, tokens: number) => void;
}

interface RunningJob {
  readonly job: EngineJob;
  tokensToPrefill: number;
  emittedTokens: number;
}

export function createEmulatedEngine(options: EmulatedEngineOptions): EmulatedEngine {
  const { simulation, model } = options;
  const cachedParts = new Map<string, number>();
  let cachedTokens = 0;
  let reservedTokens = 0;
  let waiting: EngineJob[] = [];
  let running: RunningJob[] = [];
  let isStepping = false;
  let slowdownFactor = 1;
  let generation = 0;

  const requiredTokens = (job: EngineJob) => job.promptTokens + job.outputTokens;

  function evictFor(tokens: number): void {
    for (const [id, size] of cachedParts) {
      if (reservedTokens + cachedTokens + tokens <= model.memoryTokens) return;
      cachedParts.delete(id);
      cachedTokens -= size;
    }
  }

  function startJob(job: EngineJob): void {
    const firstMiss = job.parts.findIndex(({ id }) => !cachedParts.has(id));
    const firstUncached = firstMiss === -1 ? job.parts.length : firstMiss;
    const cached = job.parts.slice(0, firstUncached);
    cached.forEach(markUsed);
    const tokensToPrefill = job.promptTokens - cached.reduce((sum, { tokens }) => sum + tokens, 0);
    options.onPrefill(job.parts, firstUncached, tokensToPrefill);
    evictFor(requiredTokens(job));
    reservedTokens += requiredTokens(job);
    running.push({ job, tokensToPrefill: Math.max(1, tokensToPrefill), emittedTokens: 0 });
  }

  function markUsed({ id, tokens }: PrefixPart): void {
    if (!cachedParts.delete(id)) cachedTokens += tokens;
    cachedParts.set(id, tokens);
  }

  function admit(): void {
    while (running.length < model.slots) {
      const [next] = waiting;
      if (next === undefined || reservedTokens + requiredTokens(next) > model.memoryTokens) return;
      waiting.shift();
      startJob(next);
    }
  }

  function step(): void {
    admit();
    isStepping = running.length > 0;
    if (!isStepping) return;
    let budget = model.chunkTokens;
    const prefills: { run: RunningJob; tokens: number }[] = [];
    running.forEach((run) => {
      const tokens = Math.min(budget, run.tokensToPrefill);
      if (tokens === 0) return;
      budget -= tokens;
      prefills.push({ run, tokens });
    });
    const prefilledTokens = model.chunkTokens - budget;
    const durationMs =
      (model.stepMs +
        running.length * model.stepMsPerRequest +
        prefilledTokens / model.prefillTokensPerMs) *
      slowdownFactor;
    const decoding = running.filter(({ tokensToPrefill }) => tokensToPrefill === 0);
    const current = generation;
    simulation.after(durationMs, () => {
      if (current !== generation) return;
      prefills.forEach(({ run, tokens }) => {
        run.tokensToPrefill -= tokens;
        if (run.tokensToPrefill === 0) decoding.push(run);
      });
      decoding.forEach(emitToken);
      step();
    });
  }

  function emitToken(run: RunningJob): void {
    if (!running.includes(run)) return;
    run.emittedTokens += 1;
    if (run.emittedTokens === 1) {
      run.job.parts.forEach(markUsed);
      run.job.onFirstToken();
    } else if (run.emittedTokens % PROGRESS_TOKENS === 0) run.job.onProgress?.();
    if (run.emittedTokens < run.job.outputTokens) return;
    removeRunning(run);
    run.job.onCompleted();
  }

  function removeRunning(run: RunningJob): void {
    running = running.filter((other) => other !== run);
    reservedTokens -= requiredTokens(run.job);
  }

  function scheduleStep(): void {
    if (isStepping) return;
    isStepping = true;
    simulation.after(0, step);
  }

  return {
    submit: (job) => {
      const current = generation;
      simulation.after(model.startMs * slowdownFactor, () => {
        if (current !== generation) return;
        waiting.push(job);
        scheduleStep();
      });
    },
    cancel: (id) => {
      waiting = waiting.filter((job) => job.id !== id);
      const run = running.find(({ job }) => job.id === id);
      if (run !== undefined) removeRunning(run);
    },
    crash: () => {
      generation += 1;
      const lost = [...waiting.map(({ id }) => id), ...running.map(({ job }) => job.id)];
      waiting = [];
      running = [];
      cachedParts.clear();
      cachedTokens = 0;
      reservedTokens = 0;
      isStepping = false;
      return lost;
    },
    slowDown: (factor) => {
      slowdownFactor = factor;
    },
  };
}
