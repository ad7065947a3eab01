/**
 * The work of a model engine: attempts in a batch, what they write, and the faults that concern
 * single attempts (crossed, late and cut answers, poisoned requests).
 */
import { Debug } from '../core/debug.js';
import type { Millis } from '../core/clock.js';
import type { Random } from '../core/random.js';
import { recordOf, usageOf, type Attempt, type AttemptOutcome } from './attempts.js';
import { createBatch, type Batch } from './batch.js';
import { answerToken } from './content.js';
import type { ParsedEngineFault } from './faults.js';
import type { Output } from './output.js';
import type { PrefixCache } from './prefixCache.js';

/** Attempts whose records are kept. */
const MAX_RECORDS = 200_000;

/** Faults that concern single attempts. */
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
  /** Called when a poisoned request is run. */
  readonly onPoisoned: (attempt: Attempt, restartAfterMs: Millis) => void;
}

export interface EngineWork {
  readonly batch: Batch<Attempt>;
  submit: (attempt: Attempt) => void;
  /** The connection of `output` was closed by the caller. */
  disconnect: (output: Output) => void;
  /** The last attempt with this request id. */
  find: (id: string) => Attempt | undefined;
  cancel: (attempt: Attempt) => boolean;
  addFault: (fault: AttemptFault) => void;
  clearFaults: () => void;
  /** Ends all attempts, as a crash does. */
  crash: () => void;
  records: () => ReturnType<typeof recordOf>[];
}

/** Discards what is written, for attempts that lost their connection to another answer. */
const NO_OUTPUT: Output = { token: () => {}, finish: () => {}, delay: () => {}, cut: () => {} };

/** Creates the work of one engine. */
export function createEngineWork(options: WorkOptions): EngineWork {
  const { random, cache, now } = options;
  const live = new Set<Attempt>();
  const byOutput = new Map<Output, Attempt>();
  const byId = new Map<string, Attempt>();
  let recorded: Attempt[] = [];
  let lastFinished: Attempt | undefined;
  /** Attempts crossed once; a second exchange would undo the first and lose a token unseen. */
  const exchanged = new WeakSet<Attempt>();
  let faults: AttemptFaults = {};

  const batch = createBatch<Attempt>({
    slots: options.batchSize,
    tokenIntervalMs: options.tokenIntervalMs,
    prefillTokensPerSecond: options.prefillTokensPerSecond,
    onAdmitted: admit,
    onToken: produce,
    onFinished: (attempt) => {
      // A resumed stream may have nothing left to produce.
      if (attempt.crossAt === attempt.position) cross(attempt);
      end(attempt, 'finished');
      lastFinished = attempt;
      attempt.output.finish(attempt.id, 'length', usageOf(attempt));
    },
  });

  function end(attempt: Attempt, outcome: AttemptOutcome): void {
    attempt.outcome = outcome;
    attempt.endedAt = now();
    live.delete(attempt);
    byOutput.delete(attempt.output);
  }

  function admit(attempt: Attempt): void {
    if (attempt.outcome === 'waiting') {
      attempt.cachedTokens = cache.match(attempt.prompt);
      const uncached = attempt.promptTokens - attempt.cachedTokens;
      attempt.prefillLeft = Math.min(attempt.prefillLeft, uncached + attempt.from);
      drawFaults(attempt);
    }
    attempt.admitted = true;
    attempt.outcome = 'running';
    const { poison } = faults;
    if (poison === undefined || !attempt.prompt.includes(poison.marker)) return;
    // The batch is in the middle of a step.
    setImmediate(() => options.onPoisoned(attempt, poison.restartAfterMs));
  }

  function isDrawn(fault: { readonly rate: number } | undefined): boolean {
    return fault !== undefined && random.next() < fault.rate;
  }

  /** A position after the first token and before the last. */
  function middleOf(attempt: Attempt): number {
    return attempt.from + 1 + random.nextInt(Math.max(1, attempt.length - attempt.from - 1));
  }

  function drawFaults(attempt: Attempt): void {
    const { cut, crossed, late } = faults;
    if (isDrawn(cut)) attempt.cutAt = middleOf(attempt);
    if (isDrawn(crossed)) {
      attempt.crossAt = crossed?.at === 'middle' ? middleOf(attempt) : attempt.from;
    }
    if (isDrawn(late)) attempt.output.delay(late?.delayMs ?? 0);
  }

  function produce(attempt: Attempt, index: number): void {
    if (index === attempt.from) cache.store(attempt.prompt);
    if (index === attempt.cutAt) {
      batch.remove(attempt);
      end(attempt, 'cut');
      attempt.output.cut(faults.cut?.ending ?? 'reset');
      return;
    }
    if (index === attempt.crossAt) cross(attempt);
    attempt.output.token(attempt.id, answerToken(attempt.seed, index));
  }

  function setOutput(attempt: Attempt, output: Output): void {
    attempt.output = output;
    if (output !== NO_OUTPUT) byOutput.set(output, attempt);
  }

  /** Exchanges the connections of two attempts, or repeats an earlier answer on this one. */
  function cross(attempt: Attempt): void {
    attempt.crossAt = undefined;
    if (exchanged.has(attempt)) return;
    const isHead = attempt.position <= attempt.from + 1;
    const partner = [...live].find(
      (other) =>
        other !== attempt &&
        !exchanged.has(other) &&
        other.output !== NO_OUTPUT &&
        (isHead ? other.position === other.from : other.position > other.from),
    );
    const { output } = attempt;
    exchanged.add(attempt);
    if (partner !== undefined) {
      exchanged.add(partner);
      setOutput(attempt, partner.output);
      setOutput(partner, output);
    } else if (lastFinished !== undefined) {
      setOutput(attempt, NO_OUTPUT);
      byOutput.delete(output);
      repeat(lastFinished, output);
    }
  }

  function repeat(earlier: Attempt, output: Output): void {
    for (let index = earlier.from; index < earlier.length; index += 1) {
      output.token(earlier.id, answerToken(earlier.seed, index));
    }
    output.finish(earlier.id, 'length', usageOf(earlier));
  }

  function record(attempt: Attempt): void {
    recorded.push(attempt);
    if (recorded.length > 2 * MAX_RECORDS) recorded = recorded.slice(-MAX_RECORDS);
  }

  return {
    batch,
    submit: (attempt) => {
      live.add(attempt);
      byId.set(attempt.id, attempt);
      byOutput.set(attempt.output, attempt);
      record(attempt);
      attempt.prefillLeft = attempt.promptTokens + attempt.from;
      batch.add(attempt);
    },
    disconnect: (output) => {
      const attempt = byOutput.get(output);
      if (attempt === undefined || !live.has(attempt)) return;
      batch.remove(attempt);
      end(attempt, 'disconnected');
    },
    find: (id) => byId.get(id),
    cancel: (attempt) => {
      if (!batch.remove(attempt)) return false;
      end(attempt, 'cancelled');
      attempt.output.finish(attempt.id, 'cancelled', usageOf(attempt));
      return true;
    },
    addFault: (fault) => {
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
      [...live].forEach((attempt) => end(attempt, 'crashed'));
      byId.clear();
      lastFinished = undefined;
    },
    records: () => recorded.map(recordOf),
  };
}
