/** The one reducer: hands each event to the sub-reducers of its matters. */
import { onAttemptEnded, onAttemptProgress } from './attempts/attempts.js';
import {
  isConfigurationCommand,
  onApplyTimer,
  onConfigurationAppended,
  onConfigurationCommand,
  onConfigurationLogRead,
  onConfigurationMessage,
  onConfigurationTimer,
  onHeartbeatVersion,
  startConfiguration,
} from './configuration/configuration.js';
import { CHECKPOINT_STREAM, CONFIGURATION_STREAM } from './configuration/records.js';
import type { CoreContext } from './context.js';
import { setTimer } from './context.js';
import { Debug } from './debug.js';
import { onAnnounceTimer, onGrant } from './dispatch/entry.js';
import { announceAll } from './dispatch/queues.js';
import { onGrantReturn, onPollTimer, onSlotUpdate, onWaitingUpdate } from './dispatch/owner.js';
import { onPlannedStop } from './drain/drain.js';
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
      onAttemptProgress(ctx, event.attemptId, event.outputTokens);
      return;
    case 'attemptEnded':
      onAttemptEnded(ctx, event.attemptId, event.outcome);
      return;
    case 'peerMessage':
      reducePeerMessage(ctx, event.from, event.message);
      return;
    case 'instanceList':
      onInstanceList(ctx, event.instances ?? []);
      return;
    case 'upstreamReport':
      if (event.report !== undefined) ctx.state.dispatch.reports.set(event.upstream, event.report);
      return;
    case 'logRead':
      if (isConfigurationStream(event.stream)) onConfigurationLogRead(ctx, event);
      return;
    case 'appendSettled':
      if (isConfigurationStream(event.stream)) onConfigurationAppended(ctx, event);
      return;
    case 'operatorCommand':
      if (isConfigurationCommand(event.command)) {
        onConfigurationCommand(ctx, event.commandId, event.command);
      }
      return;
    case 'peerUnreachable':
    case 'orderSettled':
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
      onHeartbeatVersion(ctx, from, message.value.configurationVersion);
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
    case 'serviceSums':
    case 'serviceRequest':
    case 'limitUsage':
    case 'demandRequest':
    case 'demandOffer':
    case 'suspendRequest':
    case 'suspicions':
    case 'retryUsage':
    case 'claimSubmission':
    case 'outcomeQuery':
    case 'outcomeReply':
      return;
    case 'configurationRecords':
    case 'configurationRequest':
    case 'configurationSnapshot':
      onConfigurationMessage(ctx, from, message);
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
    case 'configuration':
      onConfigurationTimer(ctx);
      return;
    case 'apply':
      onApplyTimer(ctx);
      return;
    case 'exchange':
    case 'assign':
    case 'limits':
    case 'claims':
    case 'quarantine':
    case 'retries':
    case 'checkpoint':
    case 'orders':
    case 'drain':
      return;
    default:
      Debug.assertNever(timer);
  }
}

function onStart(ctx: CoreContext): void {
  startMembership(ctx);
  startConfiguration(ctx);
  setTimer(ctx, 'poll', ctx.state.settings.pollMs);
  setTimer(ctx, 'deadlines', ctx.state.settings.deadlineTickMs);
}

function isConfigurationStream(stream: string): boolean {
  return stream === CONFIGURATION_STREAM || stream === CHECKPOINT_STREAM;
}
