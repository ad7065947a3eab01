/**
 * Hold reports: an entry periodically reports to each owner the grants whose attempts are running.
 * The owner considers a grant ended if it is not reported for some time. If the owner of an
 * upstream has changed, the new owner receives the number of attempts that still run there under
 * earlier grants.
 */
import { sendToInstance, type CoreContext } from '../context.js';
import { ownerOf } from '../ownership/ownership.js';
import type { CoreState } from '../state.js';
import type { SlotGrant, GrantId, InstanceId, UpstreamId } from '../types.js';
import { grantKey } from './dispatchState.js';
import { refreshAnnouncements } from './announcements.js';

/** Multiple of the maximum suspension after which an entry resumes an attempt on its own. */
const SELF_RESUME_FACTOR = 2;

interface HoldReport {
  readonly running: GrantId[];
  readonly suspended: GrantId[];
  readonly held: Map<UpstreamId, number>;
}

/** Reports the held grants and repeats announcements, once per hold report interval. */
export function reportHeldGrants(ctx: CoreContext): void {
  const { dispatch, settings } = ctx.state;
  if (dispatch.holdReportAt > ctx.now) return;
  dispatch.holdReportAt = ctx.now + settings.holdReportMs;
  dispatch.holdReports += 1;
  resumeAbandonedAttempts(ctx);
  collectHoldReports(ctx.state).forEach((report, owner) => {
    sendToInstance(ctx, owner, {
      $case: 'slotUpdate',
      value: {
        running: report.running,
        ended: [],
        suspended: report.suspended,
        heldUpstreams: [...report.held.keys()],
        heldCounts: [...report.held.values()],
        refused: [],
      },
    });
  });
  refreshAnnouncements(ctx);
}

/** Counts the attempts of this instance that run on an upstream under grants of earlier owners. */
export function countUnderEarlierOwners(state: CoreState, upstream: UpstreamId): number {
  let held = 0;
  state.attempts.running.forEach(({ grant }) => {
    if (grant.upstream === upstream && isFromEarlierOwner(state, grant)) held += 1;
  });
  return held;
}

/** Whether the issuer of a grant no longer owns the upstream or has restarted since. */
export function isFromEarlierOwner(state: CoreState, grant: SlotGrant): boolean {
  if (ownerOf(state, grant.upstream) !== grant.owner) return true;
  const incarnation = state.membership.members.get(grant.owner)?.incarnation;
  return incarnation !== state.dispatch.heldGrants.get(grantKey(grant))?.incarnation;
}

function collectHoldReports(state: CoreState): ReadonlyMap<InstanceId, HoldReport> {
  const reports = new Map<InstanceId, HoldReport>();
  const reportFor = (owner: InstanceId) => {
    const report = reports.get(owner) ?? { running: [], suspended: [], held: new Map() };
    reports.set(owner, report);
    return report;
  };
  state.attempts.running.forEach(({ grant }) => {
    const isSuspended = state.dispatch.suspendedAttempts.has(grantKey(grant));
    const report = reportFor(grant.owner);
    (isSuspended ? report.suspended : report.running).push(grant.grantId);
    const owner = ownerOf(state, grant.upstream);
    if (owner === undefined || !isFromEarlierOwner(state, grant)) return;
    const { held } = reportFor(owner);
    held.set(grant.upstream, (held.get(grant.upstream) ?? 0) + 1);
  });
  return reports;
}

/** Resumes attempts whose owner has changed or has not resumed them in time. */
function resumeAbandonedAttempts(ctx: CoreContext): void {
  const { dispatch, settings, attempts } = ctx.state;
  dispatch.suspendedAttempts.forEach((suspended, key) => {
    const attempt = attempts.running.get(suspended.attemptId);
    if (attempt === undefined) {
      dispatch.suspendedAttempts.delete(key);
      return;
    }
    const age = ctx.now - suspended.since;
    const isOverdue = age > SELF_RESUME_FACTOR * settings.maxSuspendMs;
    if (!isOverdue && !isFromEarlierOwner(ctx.state, attempt.grant)) return;
    dispatch.suspendedAttempts.delete(key);
    const { attemptId, upstream } = suspended;
    ctx.emit({ kind: 'resumeAttempt', attemptId, upstream });
  });
}
