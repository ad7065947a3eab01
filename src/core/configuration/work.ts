/**
 * Does the work of the configuration in pieces: one job at a time, a bounded amount of work in one
 * event, the rest after an `apply` timer, so that no event holds the loop up.
 */
import type { Steps } from '../../configuration/types.js';
import { createViewSteps } from '../../configuration/view.js';
import { logLine, setTimer, type CoreContext } from '../context.js';
import type { StreamRecord } from '../types.js';
import type { Completion, ConfigurationState, Job } from './configurationState.js';
import { judgeSteps, settle, type Judgement } from './fold.js';

/** Work in one event, in units of parsing one entry. */
const SLICE_WORK = 24;
/** Work of beginning and ending a job. */
const JOB_WORK = 0.5;

/** What happens after a record was folded or a view built. */
export interface WorkHooks {
  readonly onFolded: (ctx: CoreContext, record: StreamRecord, judgement: Judgement) => void;
  readonly onViewBuilt: (ctx: CoreContext) => void;
  readonly onIdle: (ctx: CoreContext) => void;
}

/** Adds a job behind those that wait. */
export function addJob(ctx: CoreContext, job: Job): void {
  ctx.state.configuration.jobs.push(job);
}

/** Works for the length of one slice. */
export function work(ctx: CoreContext, hooks: WorkHooks): void {
  const { configuration } = ctx.state;
  if (configuration.isWorking) return;
  configuration.isWorking = true;
  let left = SLICE_WORK;
  while (left > 0) {
    configuration.job ??= nextJob(ctx, hooks);
    if (configuration.job === undefined) break;
    const step = configuration.job.next();
    if (step.done === true) {
      configuration.job = undefined;
      step.value(ctx);
      left -= JOB_WORK;
    } else {
      left -= step.value;
    }
  }
  if (left > 0) hooks.onIdle(ctx);
  configuration.isWorking = false;
  if (left <= 0 || configuration.jobs.length > 0) setTimer(ctx, 'apply', 0);
}

/** Whether all that was read is folded. */
export function isFolded(configuration: ConfigurationState): boolean {
  return configuration.queue.length === 0 && configuration.job === undefined;
}

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
  const judgement = yield* judgeSteps(fold, record.offset, record.data);
  return (later) => {
    settle(fold, record.offset, judgement);
    if (judgement.kind === 'accepted') configuration.isViewStale = true;
    if (judgement.kind === 'blocked') reportBlock(later, record.offset, judgement.schemaVersion);
    if (judgement.kind === 'noted') configuration.checkpointedAt = later.now;
    hooks.onFolded(later, record, judgement);
  };
}

function reportBlock(ctx: CoreContext, offset: number, version: number): void {
  const { configuration } = ctx.state;
  if (configuration.hasReportedBlock) return;
  configuration.hasReportedBlock = true;
  logLine(ctx, 'error', 'configuration', 'schemaNewer', { offset, version });
}

function* viewJob(ctx: CoreContext, hooks: WorkHooks): Steps<Completion> {
  const { configuration } = ctx.state;
  const { document, numbers, version } = configuration.fold;
  const built = yield* createViewSteps(document, numbers, version, configuration.built);
  return (later) => {
    configuration.built = built;
    hooks.onViewBuilt(later);
  };
}
