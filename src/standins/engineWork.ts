/**
 * Execution of attempts in a model engine: batching, output, and the faults that affect individual
 * attempts (crossed, late and cut answers, poisoned requests).
 */
import { Debug } from '../core/debug.js';
import type { Millis } from '../core/clock.js';
import type { Random } from '../core/random.js';
import { toAttemptRecord, toUsage, type Attempt, type AttemptOutcome } from './attempts.js';
import { createBatch, type Batch } from './batch.js';
import { answerToken } from './content.js';
import type { ParsedEngineFault } from './faults.js';
import type { Output } from './output.js';
import type { PrefixCache } from './prefixCache.js';

/** Number of latest attempt records always retained; up to twice as many are kept. */
const RETAINED_RECORDS = 200_000;

/** Faults that affect individual attempts. */
export type AttemptFault = Extract<
  ParsedEngineFault,
  { kind: 'crossed' | 'late' | 'cut' | 'poison' }
>;

type AttemptFaults = { [K in AttemptFault['kind']]?: Extract<AttemptFault, { kind: K }> };

export interface WorkOptions {
  readonly batchSize: number;
  readonly tokenIntervalMs: Millis;
  readonly prefillTokensPerSecond: number;
  readonly cache: PrefixCache;
  readonly random: Random;
  readonly now: () => Millis;
  /** Called when a poisoned request is admitted to the batch. */
  readonly onPoisoned: (attempt: Attempt, restartAfterMs: Millis) => void;
}

export interface EngineWork {
  readonly batch: Batch<Attempt>;
  submit: (attempt: Attempt) => void;
  /** Ends the attempt that writes to `output` after the caller closed the connection. */
  disconnect: (output: Output) => void;
  /** Returns the latest attempt with this request id. */
  find: (id: string) => Attempt | undefined;
  cancel: (attempt: Attempt) => boolean;
  setFault: (fault: AttemptFault) => void;
  clearFaults: () => void;
  /** Ends all attempts with the outcome `crashed`. */
  crash: () => void;
  records: () => ReturnType<typeof toAttemptRecord>[];
}

/** Discards all writes; for attempts whose connection carries the answer of another attempt. */
const DISCARDING_OUTPUT: Output = {
  token: () => {},
  finish: () => {},
  bufferFor: () => {},
  cut: () => {},
};

/** Creates the execution of attempts in one engine. */
export function createEngineWork(options: WorkOptions): EngineWork {
  const { random, cache, now } = options;
  const activeAttempts = new Set<Attempt>();
  const byOutput = new Map<Output, Attempt>();
  const byId = new Map<string, Attempt>();
  let retainedAttempts: Attempt[] = [];
  let lastFinished: Attempt | undefined;
  /**
   * Attempts that have been crossed. A second exchange would undo the first, so that a token would
   * be missing without a visible change of the request id.
   */
  const crossedAttempts = new WeakSet<Attempt>();
  let faults: AttemptFaults = {};

  const batch = createBatch<Attempt>({
    slots: options.batchSize,
    tokenIntervalMs: options.tokenIntervalMs,
    prefillTokensPerSecond: options.prefillTokensPerSecond,
    onAdmitted: handleAdmitted,
    onToken: emitToken,
    onFinished: (attempt) => {
      // A resumed stream may have no tokens left to generate.
      if (attempt.crossAt === attempt.position) crossAnswers(attempt);
      endAttempt(attempt, 'finished');
      lastFinished = attempt;
      attempt.output.finish(attempt.id, 'length', toUsage(attempt));
    },
  });

  function endAttempt(attempt: Attempt, outcome: AttemptOutcome): void {
    attempt.outcome = outcome;
    attempt.endedAt = now();
    activeAttempts.delete(attempt);
    byOutput.delete(attempt.output);
  }

  function handleAdmitted(attempt: Attempt): void {
    if (attempt.outcome === 'waiting') {
      attempt.cachedTokens = cache.match(attempt.prompt);
      const uncached = attempt.promptTokens - attempt.cachedTokens;
      attempt.remainingPrefill = Math.min(attempt.remainingPrefill, uncached + attempt.from);
      chooseFaults(attempt);
    }
    attempt.admitted = true;
    attempt.outcome = 'running';
    const { poison } = faults;
    if (poison === undefined || !attempt.prompt.includes(poison.marker)) return;
    // Deferred because the batch is in the middle of a step.
    setImmediate(() => options.onPoisoned(attempt, poison.restartAfterMs));
  }

  function shouldInject(fault: { readonly rate: number } | undefined): boolean {
    return fault !== undefined && random.next() < fault.rate;
  }

  /** Selects a random position after the first token of an attempt. */
  function pickMiddlePosition(attempt: Attempt): number {
    return attempt.from + 1 + random.nextInt(Math.max(1, attempt.length - attempt.from - 1));
  }

  function chooseFaults(attempt: Attempt): void {
    const { cut, crossed, late } = faults;
    if (shouldInject(cut)) attempt.cutAt = pickMiddlePosition(attempt);
    if (shouldInject(crossed)) {
      attempt.crossAt = crossed?.at === 'middle' ? pickMiddlePosition(attempt) : attempt.from;
    }
    if (shouldInject(late)) attempt.output.bufferFor(late?.delayMs ?? 0);
  }

  function emitToken(attempt: Attempt, index: number): void {
    if (index === attempt.from) cache.store(attempt.prompt);
    if (index === attempt.cutAt) {
      batch.remove(attempt);
      endAttempt(attempt, 'cut');
      attempt.output.cut(faults.cut?.ending ?? 'reset');
      return;
    }
    if (index === attempt.crossAt) crossAnswers(attempt);
    attempt.output.token(attempt.id, answerToken(attempt.seed, index));
  }

  function setOutput(attempt: Attempt, output: Output): void {
    attempt.output = output;
    if (output !== DISCARDING_OUTPUT) byOutput.set(output, attempt);
  }

  /**
   * Exchanges the writers of two attempts. Without a suitable partner, replays the last finished
   * answer on the connection of this attempt.
   */
  function crossAnswers(attempt: Attempt): void {
    attempt.crossAt = undefined;
    if (crossedAttempts.has(attempt)) return;
    const isAtStart = attempt.position <= attempt.from + 1;
    const partner = [...activeAttempts].find(
      (other) =>
        other !== attempt &&
        !crossedAttempts.has(other) &&
        other.output !== DISCARDING_OUTPUT &&
        (isAtStart ? other.position === other.from : other.position > other.from),
    );
    const { output } = attempt;
    crossedAttempts.add(attempt);
    if (partner !== undefined) {
      crossedAttempts.add(partner);
      setOutput(attempt, partner.output);
      setOutput(partner, output);
    } else if (lastFinished !== undefined) {
      setOutput(attempt, DISCARDING_OUTPUT);
      byOutput.delete(output);
      replayAnswer(lastFinished, output);
    }
  }

  function replayAnswer(earlier: Attempt, output: Output): void {
    for (let index = earlier.from; index < earlier.length; index += 1) {
      output.token(earlier.id, answerToken(earlier.seed, index));
    }
    output.finish(earlier.id, 'length', toUsage(earlier));
  }

  function retain(attempt: Attempt): void {
    retainedAttempts.push(attempt);
    if (retainedAttempts.length > 2 * RETAINED_RECORDS)
      retainedAttempts = retainedAttempts.slice(-RETAINED_RECORDS);
  }

  return {
    batch,
    submit: (attempt) => {
      activeAttempts.add(attempt);
      byId.set(attempt.id, attempt);
      byOutput.set(attempt.output, attempt);
      retain(attempt);
      attempt.remainingPrefill = attempt.promptTokens + attempt.from;
      batch.add(attempt);
    },
    disconnect: (output) => {
      const attempt = byOutput.get(output);
      if (attempt === undefined || !activeAttempts.has(attempt)) return;
      batch.remove(attempt);
      endAttempt(attempt, 'disconnected');
    },
    find: (id) => byId.get(id),
    cancel: (attempt) => {
      if (!batch.remove(attempt)) return false;
      endAttempt(attempt, 'cancelled');
      attempt.output.finish(attempt.id, 'cancelled', toUsage(attempt));
      return true;
    },
    setFault: (fault) => {
      switch (fault.kind) {
        case 'crossed':
          faults = { ...faults, crossed: fault };
          return;
        case 'late':
          faults = { ...faults, late: fault };
          return;
        case 'cut':
          faults = { ...faults, cut: fault };
          return;
        case 'poison':
          faults = { ...faults, poison: fault };
          return;
        default:
          Debug.assertNever(fault);
      }
    },
    clearFaults: () => {
      faults = {};
    },
    crash: () => {
      batch.clear();
      [...activeAttempts].forEach((attempt) => endAttempt(attempt, 'crashed'));
      byId.clear();
      lastFinished = undefined;
    },
    records: () => retainedAttempts.map(toAttemptRecord),
  };
}
