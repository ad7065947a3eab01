/** The root reducer: dispatches events, peer messages, commands and timers to the sub-reducers. */
import {
  AUDIT_STREAM,
  onAuditAppended,
  onAuditRead,
  onAuditTimer,
  onReadAudit,
} from './audit/audit.js';
import { onAttemptEnded, onAttemptProgress } from './attempts/attempts.js';
import {
  describeConfiguration,
  onApplyTimer,
  onConfigurationAppended,
  onConfigurationCommand,
  onConfigurationLogRead,
  onConfigurationMessage,
  onConfigurationTimer,
  onHeartbeatVersion,
  startConfiguration,
} from './configuration/configuration.js';
import { CONFIGURATION_CHECKPOINT_STREAM, CONFIGURATION_STREAM } from './configuration/records.js';
import { onClaimsTimer } from './claims/claimsTimer.js';
import { onOutcomeQuery, onOutcomeReply } from './claims/duplicates.js';
import { onClaimsLogRead, startReading } from './claims/reading.js';
import {
  CLAIM_CHECKPOINT_STREAM,
  CLAIMS_STREAM,
  flushAppends,
  onClaimsAppended,
  onClaimSubmission,
} from './claims/submission.js';
import { checkOperatorKey } from './configuration/keys.js';
import type { CoreContext } from './context.js';
import { emitAuditEntry, setTimer } from './context.js';
import { Debug } from './debug.js';
import { onAnnounceTimer } from './dispatch/announcements.js';
import { onGrant, onSuspendRequest } from './dispatch/entry.js';
import { scheduleAllAnnouncements } from './dispatch/queues.js';
import {
  onGrantReturn,
  onPollTimer,
  onSlotUpdate,
  onUpstreamReport,
  onWaitingUpdate,
} from './dispatch/owner.js';
import { onAssignTimer, onDemandOffer, onDemandRequest } from './dispatch/pull.js';
import { onLimitsTimer, onLimitUsage } from './limits/limitUsage.js';
import { stopIfDrained, onDrainTimer, onPlannedStop } from './drain/drain.js';
import { onListedUpstreams } from './drain/upstreams.js';
import {
  onHeartbeat,
  onHeartbeatTimer,
  onInstanceList,
  onInstanceListTimer,
  onLeaving,
  startMembership,
} from './membership/membership.js';
import { ORDERS_STREAM } from './orders/orderRecords.js';
import {
  listOrders,
  onOrderAppended,
  onOrderReport,
  onOrderSettled,
  onOrdersRead,
  onOrdersTimer,
  startOrders,
} from './orders/orders.js';
import { onMemberRequest, onMemberSummaries } from './membership/relays.js';
import {
  liftQuarantine,
  recordUpstreamReport,
  onQuarantineTimer,
  onSuspicions,
  startQuarantine,
} from './quarantine/quarantine.js';
import { onCallerRequest } from './requests/admission.js';
import { onCallerGone, onDeadlinesTimer } from './requests/requests.js';
import { onRetriesTimer, onRetryUsage, startRetries } from './retries/retries.js';
import type { CoreEvent, InstanceId, OperatorCommand, PeerMessage, TimerName } from './types.js';
import { onExchangeTimer, onServiceSums } from './shares/exchange.js';
import { onServiceRequest } from './shares/relay.js';

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
      stopIfDrained(ctx);
      return;
    case 'peerMessage':
      reducePeerMessage(ctx, event.from, event.incarnation, event.message);
      return;
    case 'instanceList':
      onInstanceList(ctx, event.instances ?? []);
      onListedUpstreams(ctx, event.instances ?? []);
      return;
    case 'upstreamReport':
      onUpstreamReport(ctx, event);
      recordUpstreamReport(ctx, event.upstream, event.report);
      onOrderReport(ctx, event.upstream, event.report);
      return;
    case 'logRead':
      if (isClaimsStream(event.stream)) {
        onClaimsLogRead(ctx, event.stream, event.from, event.result);
      } else if (isConfigurationStream(event.stream)) {
        onConfigurationLogRead(ctx, event);
      } else if (event.stream === ORDERS_STREAM) {
        onOrdersRead(ctx, event);
      } else if (event.stream === AUDIT_STREAM) {
        onAuditRead(ctx, event);
      }
      return;
    case 'appendSettled':
      if (isClaimsStream(event.stream)) onClaimsAppended(ctx, event.result);
      else if (isConfigurationStream(event.stream)) onConfigurationAppended(ctx, event);
      else if (event.stream === ORDERS_STREAM) onOrderAppended(ctx, event.appendId, event.result);
      else if (event.stream === AUDIT_STREAM) onAuditAppended(ctx, event.appendId, event.result);
      return;
    case 'orderSettled':
      onOrderSettled(ctx, event);
      return;
    case 'peerUnreachable':
      return;
    case 'operatorCommand':
      onOperatorCommand(ctx, event.commandId, event.command);
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

export function reducePeerMessage(
  ctx: CoreContext,
  from: InstanceId,
  incarnation: number,
  message: PeerMessage,
): void {
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
    case 'routingNews':
      return;
    case 'waitingUpdate':
      onWaitingUpdate(ctx, from, message.value);
      return;
    case 'grant':
      onGrant(ctx, from, incarnation, message.value);
      return;
    case 'grantReturn':
      onGrantReturn(ctx, message.value.grantIds);
      return;
    case 'slotUpdate':
      onSlotUpdate(ctx, from, message.value);
      return;
    case 'retryUsage':
      onRetryUsage(ctx, from, message.value);
      return;
    case 'claimSubmission':
      onClaimSubmission(ctx, message.value.records);
      return;
    case 'outcomeQuery':
      onOutcomeQuery(ctx, from, message.value);
      return;
    case 'outcomeReply':
      onOutcomeReply(ctx, message.value);
      return;
    case 'suspicions':
      onSuspicions(ctx, from, message.value);
      return;
    case 'serviceSums':
      onServiceSums(ctx, from, incarnation, message.value);
      return;
    case 'serviceRequest':
      onServiceRequest(ctx, from, message.value);
      return;
    case 'limitUsage':
      onLimitUsage(ctx, from, message.value);
      return;
    case 'demandRequest':
      onDemandRequest(ctx, from, message.value);
      return;
    case 'demandOffer':
      onDemandOffer(ctx, message.value);
      return;
    case 'suspendRequest':
      onSuspendRequest(ctx, from, message.value);
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

function onOperatorCommand(ctx: CoreContext, commandId: string, command: OperatorCommand): void {
  switch (command.kind) {
    case 'publish':
    case 'getConfiguration':
    case 'checkConfiguration':
    case 'configurationHistory':
      onConfigurationCommand(ctx, commandId, command);
      return;
    case 'liftQuarantine':
    case 'readAudit':
    case 'listOrders':
      onAuthenticatedCommand(ctx, commandId, command);
      return;
    case 'status':
      ctx.emit({ kind: 'operatorReply', commandId, result: describeConfiguration(ctx) });
      return;
    default:
      Debug.assertNever(command);
  }
}

type AuthenticatedCommand = Extract<
  OperatorCommand,
  { readonly kind: 'liftQuarantine' | 'readAudit' | 'listOrders' }
>;

function onAuthenticatedCommand(
  ctx: CoreContext,
  commandId: string,
  command: AuthenticatedCommand,
): void {
  const check = checkOperatorKey(ctx, command.keyHash);
  if (check.kind === 'rejected') {
    ctx.emit({ kind: 'operatorReply', commandId, result: check });
    return;
  }
  switch (command.kind) {
    case 'readAudit':
      onReadAudit(ctx, commandId, command.limit);
      return;
    case 'listOrders':
      ctx.emit({ kind: 'operatorReply', commandId, result: listOrders(ctx) });
      return;
    case 'liftQuarantine': {
      const wasLifted = liftQuarantine(ctx, command.fingerprint);
      emitAuditEntry(ctx, 'liftQuarantine', command.fingerprint, check.team, wasLifted);
      ctx.emit({ kind: 'operatorReply', commandId, result: { kind: 'done', data: { wasLifted } } });
      return;
    }
    default:
      Debug.assertNever(command);
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
      scheduleAllAnnouncements(ctx);
      return;
    case 'deadlines':
      onDeadlinesTimer(ctx);
      return;
    case 'configuration':
      onConfigurationTimer(ctx);
      onAuditTimer(ctx);
      return;
    case 'orders':
      onOrdersTimer(ctx);
      return;
    case 'apply':
      onApplyTimer(ctx);
      return;
    case 'claims':
      onClaimsTimer(ctx);
      return;
    case 'claimAppend':
      flushAppends(ctx);
      return;
    case 'quarantine':
      onQuarantineTimer(ctx);
      return;
    case 'retries':
      onRetriesTimer(ctx);
      return;
    case 'drain':
      onDrainTimer(ctx);
      return;
    case 'exchange':
      onExchangeTimer(ctx);
      return;
    case 'assign':
      onAssignTimer(ctx);
      return;
    case 'limits':
      onLimitsTimer(ctx);
      return;
    case 'checkpoint':
      return;
    default:
      Debug.assertNever(timer);
  }
}

function onStart(ctx: CoreContext): void {
  startMembership(ctx);
  startConfiguration(ctx);
  startOrders(ctx);
  startRetries(ctx);
  startReading(ctx);
  startQuarantine(ctx);
  setTimer(ctx, 'exchange', ctx.state.settings.exchangeMs);
  setTimer(ctx, 'assign', 0);
  setTimer(ctx, 'limits', ctx.state.settings.limitsMs);
  setTimer(ctx, 'poll', ctx.state.settings.pollMs);
  setTimer(ctx, 'deadlines', ctx.state.settings.deadlineTickMs);
}

function isConfigurationStream(stream: string): boolean {
  return stream === CONFIGURATION_STREAM || stream === CONFIGURATION_CHECKPOINT_STREAM;
}

function isClaimsStream(stream: string): boolean {
  return stream === CLAIMS_STREAM || stream === CLAIM_CHECKPOINT_STREAM;
}
