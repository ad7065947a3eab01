/** The one reducer: hands each event to the sub-reducers of its matters. */
import { onAttemptEnded, onAttemptProgress } from './attempts/attempts.js';
import type { CoreContext } from './context.js';
import { setTimer } from './context.js';
import { Debug } from './debug.js';
import { onAnnounceTimer, onGrant } from './dispatch/entry.js';
import { announceAll } from './dispatch/queues.js';
import { onGrantReturn, onPollTimer, onSlotUpdate, onWaitingUpdate } from './dispatch/owner.js';
import { onPlannedStop } from './drain/drain.js';
import { onListedUpstreams } from './drain/upstreams.js';
import {
  onHeartbeat,
  onHeartbeatTimer,
  onInstanceList,
  onInstanceListTimer,
  onLeaving,
  startMembership,
} from './membership/membership.js';
import { onMemberRequest, onMemberSummaries } from './membership/relays.js';
import { onCallerRequest } from './requests/admission.js';
import { onCallerGone, onDeadlinesTimer } from './requests/requests.js';
import { onRetriesTimer, onRetryUsage, startRetries } from './retries/retries.js';
import type { CoreEvent, InstanceId, PeerMessage, TimerName } from './types.js';

export function reduceEvent(ctx: CoreContext, event: CoreEvent): void {
  switch (event.kind) {
    case 'start':
      onStart(ctx);
      return;
    case 'callerRequest':
      onCallerRequest(ctx, event);
      return;
    case 'callerGone':
      onCallerGone(ctx, event.requestId);
      return;
    case 'attemptStarted':
      return;
    case 'attemptProgress':
      onAttemptProgress(ctx, event.attemptId, event.outputTokens, event.bytes);
      return;
    case 'attemptEnded':
      onAttemptEnded(ctx, event.attemptId, event.outcome);
      return;
    case 'peerMessage':
      reducePeerMessage(ctx, event.from, event.message);
      return;
    case 'instanceList':
      onInstanceList(ctx, event.instances ?? []);
      onListedUpstreams(ctx, event.instances ?? []);
      return;
    case 'upstreamReport':
      if (event.report !== undefined) ctx.state.dispatch.reports.set(event.upstream, event.report);
      return;
    case 'peerUnreachable':
    case 'logRead':
    case 'appendSettled':
    case 'orderSettled':
    case 'operatorCommand':
      return;
    case 'timer':
      reduceTimer(ctx, event.timer);
      return;
    case 'plannedStop':
      onPlannedStop(ctx);
      return;
    default:
      Debug.assertNever(event);
  }
}

export function reducePeerMessage(ctx: CoreContext, from: InstanceId, message: PeerMessage): void {
  switch (message.$case) {
    case 'heartbeat':
      onHeartbeat(ctx, message.value);
      return;
    case 'leaving':
      onLeaving(ctx, from, message.value);
      return;
    case 'memberSummaries':
      onMemberSummaries(ctx, from, message.value);
      return;
    case 'memberRequest':
      onMemberRequest(ctx, from, message.value);
      return;
    case 'ping':
    case 'pong':
      return;
    case 'waitingUpdate':
      onWaitingUpdate(ctx, from, message.value);
      return;
    case 'grant':
      onGrant(ctx, from, message.value);
      return;
    case 'grantReturn':
      onGrantReturn(ctx, message.value.grantIds);
      return;
    case 'slotUpdate':
      onSlotUpdate(ctx, message.value);
      return;
    case 'retryUsage':
      onRetryUsage(ctx, from, message.value);
      return;
    case 'serviceSums':
    case 'serviceRequest':
    case 'limitUsage':
    case 'demandRequest':
    case 'demandOffer':
    case 'suspendRequest':
    case 'suspicions':
    case 'claimSubmission':
    case 'outcomeQuery':
    case 'outcomeReply':
    case 'configurationRecords':
    case 'configurationRequest':
    case 'configurationSnapshot':
      return;
    default:
      Debug.assertNever(message);
  }
}

function reduceTimer(ctx: CoreContext, timer: TimerName): void {
  switch (timer) {
    case 'heartbeat':
      onHeartbeatTimer(ctx);
      return;
    case 'instanceList':
      onInstanceListTimer(ctx);
      return;
    case 'announce':
      onAnnounceTimer(ctx);
      return;
    case 'poll':
      onPollTimer(ctx);
      announceAll(ctx);
      return;
    case 'deadlines':
      onDeadlinesTimer(ctx);
      return;
    case 'retries':
      onRetriesTimer(ctx);
      return;
    case 'exchange':
    case 'assign':
    case 'limits':
    case 'claims':
    case 'quarantine':
    case 'configuration':
    case 'checkpoint':
    case 'apply':
    case 'orders':
    case 'drain':
      return;
    default:
      Debug.assertNever(timer);
  }
}

function onStart(ctx: CoreContext): void {
  startMembership(ctx);
  startRetries(ctx);
  setTimer(ctx, 'poll', ctx.state.settings.pollMs);
  setTimer(ctx, 'deadlines', ctx.state.settings.deadlineTickMs);
}
