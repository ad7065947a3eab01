/**
 * Runs the configuration's jobs in slices: one job at a time, with a bounded amount of work per event.
 * The rest continues on an `apply` timer, so that no event blocks the event loop.
 */
import type { Steps } from '../../configuration/types.js';
import { createViewSteps } from '../../configuration/view.js';
import { emitLog, setTimer, type CoreContext } from '../context.js';
import type { StreamRecord } from '../types.js';
import type { Completion, ConfigurationState, Job } from './configurationState.js';
import { evaluateRecordSteps, applyFoldResult, type FoldResult } from './fold.js';

/** Work in one slice, in units of parsing one entry. */
const SLICE_WORK = 24;
/** Work of starting and finishing a job, in units of parsing one entry. */
const JOB_OVERHEAD_WORK = 0.5;

/** Callbacks after a record is folded, after a view is built, and when a slice ends with no job left. */
export interface WorkHooks {
  readonly onFolded: (ctx: CoreContext, record: StreamRecord, result: FoldResult) => void;
  readonly onViewBuilt: (ctx: CoreContext) => void;
  readonly onIdle: (ctx: CoreContext) => void;
}

/** Adds a job to the end of the queue. */
export function enqueueJob(ctx: CoreContext, job: Job): void {
  ctx.state.configuration.jobs.push(job);
}

/** Runs jobs until the work of one slice is used up or no job is left. */
export function runSlice(ctx: CoreContext, hooks: WorkHooks): void {
  const { configuration } = ctx.state;
  if (configuration.isWorking) return;
  configuration.isWorking = true;
  let remainingWork = SLICE_WORK;
  while (remainingWork > 0) {
    configuration.job ??= nextJob(ctx, hooks);
    if (configuration.job === undefined) break;
    const step = configuration.job.next();
    if (step.done === true) {
      configuration.job = undefined;
      step.value(ctx);
      remainingWork -= JOB_OVERHEAD_WORK;
    } else {
      remainingWork -= step.value;
    }
  }
  if (remainingWork > 0) hooks.onIdle(ctx);
  configuration.isWorking = false;
  if (remainingWork <= 0 || configuration.jobs.length > 0) setTimer(ctx, 'apply', 0);
}

/** Whether all records read so far are folded and no job is in progress. */
export function isQueueFolded(configuration: ConfigurationState): boolean {
  return configuration.queue.length === 0 && configuration.job === undefined;
}

/** Returns the next job: records are folded first, then the view is rebuilt, then queued jobs run. */
function nextJob(ctx: CoreContext, hooks: WorkHooks): Job | undefined {
  const { configuration } = ctx.state;
  if (configuration.fold.blocked !== undefined) configuration.queue.length = 0;
  const record = configuration.queue.shift();
  if (record !== undefined) return foldJob(ctx, record, hooks);
  if (configuration.isViewStale) {
    configuration.isViewStale = false;
    return viewJob(ctx, hooks);
  }
  return configuration.jobs.shift();
}

function* foldJob(ctx: CoreContext, record: StreamRecord, hooks: WorkHooks): Steps<Completion> {
  const { configuration } = ctx.state;
  const { fold } = configuration;
  if (record.offset < fold.next) return () => undefined;
  const result = yield* evaluateRecordSteps(fold, record.offset, record.data);
  return (completionCtx) => {
    applyFoldResult(fold, record.offset, result);
    if (result.kind === 'accepted') configuration.isViewStale = true;
    if (result.kind === 'blocked') logBlock(completionCtx, record.offset, result.schemaVersion);
    if (result.kind === 'checkpointNote') configuration.checkpointedAt = completionCtx.now;
    hooks.onFolded(completionCtx, record, result);
  };
}

/** Logs once that a record of a newer schema version blocks the fold. */
function logBlock(ctx: CoreContext, offset: number, version: number): void {
  const { configuration } = ctx.state;
  if (configuration.hasReportedBlock) return;
  configuration.hasReportedBlock = true;
  emitLog(ctx, 'error', 'configuration', 'schemaNewer', { offset, version });
}

function* viewJob(ctx: CoreContext, hooks: WorkHooks): Steps<Completion> {
  const { configuration } = ctx.state;
  const { document, numbers, version } = configuration.fold;
  const built = yield* createViewSteps(document, numbers, version, configuration.built);
  return (completionCtx) => {
    configuration.built = built;
    hooks.onViewBuilt(completionCtx);
  };
}
