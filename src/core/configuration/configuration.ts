/**
 * Maintains the active configuration of this instance: handles events from the log, peers, operators
 * and timers, and activates accepted versions.
 */
import { emitLog, setTimer, type CoreContext } from '../context.js';
import { scheduleAllAnnouncements } from '../dispatch/queues.js';
import { setOwnPhase } from '../membership/membership.js';
import type {
  ConfigurationView,
  CoreEvent,
  InstanceId,
  OperatorCommand,
  OperatorResult,
  PeerMessageOf,
} from '../types.js';
import { onCheckpointAppended, writeCheckpointIfDue } from './checkpointing.js';
import {
  requestRecordsIfBehind,
  onConfigurationRecords,
  onConfigurationRequest,
  onConfigurationSnapshot,
  recordPeerVersion,
} from './distribution.js';
import { checkOperatorKey } from './keys.js';
import { advanceEdits, onEditAppended, onPublish } from './publishing.js';
import { checkConfiguration, configurationHistory, getConfiguration } from './queries.js';
import { onConfigurationRead, requestRead } from './reading.js';
import { isQueueFolded, runSlice, type WorkHooks } from './work.js';

type EventOf<K extends CoreEvent['kind']> = Extract<CoreEvent, { readonly kind: K }>;

/** Activates a view if it is newer than the active one. */
export function applyView(ctx: CoreContext, view: ConfigurationView): void {
  const { configuration, drain } = ctx.state;
  if (configuration.view !== undefined && configuration.view.version >= view.version) return;
  configuration.view = view;
  emitLog(ctx, 'info', 'configuration', 'configurationLoaded', { version: view.version });
  if (!drain.isStopping) {
    setOwnPhase(ctx, 'ready');
    ctx.emit({ kind: 'setReady', ready: true });
  }
  scheduleAllAnnouncements(ctx);
}

export function startConfiguration(ctx: CoreContext): void {
  const { configuration, settings } = ctx.state;
  configuration.startedAt = ctx.now;
  configuration.checkpointedAt = ctx.now;
  setTimer(ctx, 'configuration', settings.configurationTickMs);
}

export function onConfigurationTimer(ctx: CoreContext): void {
  requestRecordsIfBehind(ctx);
  writeCheckpointIfDue(ctx);
  advanceConfiguration(ctx);
  setTimer(ctx, 'configuration', ctx.state.settings.configurationTickMs);
}

export function onApplyTimer(ctx: CoreContext): void {
  advanceConfiguration(ctx);
}

export function onConfigurationLogRead(ctx: CoreContext, event: EventOf<'logRead'>): void {
  onConfigurationRead(ctx, event);
  advanceConfiguration(ctx);
}

export function onConfigurationAppended(ctx: CoreContext, event: EventOf<'appendSettled'>): void {
  onCheckpointAppended(ctx, event.appendId, event.result);
  onEditAppended(ctx, event.appendId, event.result);
  advanceConfiguration(ctx);
}

export function onConfigurationMessage(
  ctx: CoreContext,
  from: InstanceId,
  message:
    | {
        readonly $case: 'configurationRecords';
        readonly value: PeerMessageOf<'configurationRecords'>;
      }
    | {
        readonly $case: 'configurationRequest';
        readonly value: PeerMessageOf<'configurationRequest'>;
      }
    | {
        readonly $case: 'configurationSnapshot';
        readonly value: PeerMessageOf<'configurationSnapshot'>;
      },
): void {
  if (message.$case === 'configurationRecords') onConfigurationRecords(ctx, from, message.value);
  else if (message.$case === 'configurationRequest') {
    onConfigurationRequest(ctx, from, message.value);
  } else onConfigurationSnapshot(ctx, message.value);
  advanceConfiguration(ctx);
}

/** Records the configuration version from a peer's heartbeat. */
export function onHeartbeatVersion(ctx: CoreContext, from: InstanceId, version: number): void {
  recordPeerVersion(ctx, from, version);
}

export type ConfigurationCommand = Extract<
  OperatorCommand,
  {
    readonly kind: 'publish' | 'getConfiguration' | 'checkConfiguration' | 'configurationHistory';
  }
>;

export function onConfigurationCommand(
  ctx: CoreContext,
  commandId: string,
  command: ConfigurationCommand,
): void {
  if (command.kind === 'publish') onPublish(ctx, commandId, command);
  else answerQuery(ctx, commandId, command);
  advanceConfiguration(ctx);
}

/** Describes the versions and the progress of the configuration, without its content. */
export function describeConfiguration(ctx: CoreContext): OperatorResult {
  const { configuration } = ctx.state;
  const { fold, reading } = configuration;
  const data = {
    version: configuration.view?.version ?? -1,
    acceptedVersion: fold.version,
    readThrough: configuration.intakeNext,
    hasCaughtUp: configuration.hasCaughtUp,
    logFailingSince: reading.failingSince ?? null,
    blocked: fold.blocked ?? null,
    pendingEdits: configuration.publishing.size,
  };
  return { kind: 'done', data };
}

function answerQuery(
  ctx: CoreContext,
  commandId: string,
  command: Exclude<ConfigurationCommand, { readonly kind: 'publish' }>,
): void {
  const check = checkOperatorKey(ctx, command.keyHash);
  if (check.kind === 'rejected') {
    ctx.emit({ kind: 'operatorReply', commandId, result: check });
  } else if (command.kind === 'checkConfiguration') {
    checkConfiguration(ctx, commandId, command);
  } else {
    const result =
      command.kind === 'getConfiguration'
        ? getConfiguration(ctx, command)
        : configurationHistory(ctx, command);
    ctx.emit({ kind: 'operatorReply', commandId, result });
  }
}

const HOOKS: WorkHooks = {
  onFolded: (ctx) => {
    advanceEdits(ctx);
  },
  onViewBuilt: applyBuiltView,
  onIdle: (ctx) => {
    markCaughtUpIfCurrent(ctx);
    advanceEdits(ctx);
  },
};

function advanceConfiguration(ctx: CoreContext): void {
  advanceEdits(ctx);
  runSlice(ctx, HOOKS);
  requestRead(ctx);
}

function applyBuiltView(ctx: CoreContext): void {
  const { built, hasCaughtUp } = ctx.state.configuration;
  if (built !== undefined && hasCaughtUp) applyView(ctx, built.view);
}

/**
 * Activates the first view once the fold has reached the highest version known from the log and from
 * peers. A failing log or a record of a newer schema version does not hold this up.
 */
function markCaughtUpIfCurrent(ctx: CoreContext): void {
  const { configuration } = ctx.state;
  const { fold, reading } = configuration;
  if (configuration.hasCaughtUp || fold.version < 0 || !isQueueFolded(configuration)) return;
  const hasReadLog = reading.mode.kind === 'follow' && reading.atEndAt !== undefined;
  if (!hasReadLog && reading.failingSince === undefined) return;
  const isBehindPeers = (configuration.distribution.ahead?.version ?? -1) > fold.version;
  if (isBehindPeers && fold.blocked === undefined) return;
  configuration.hasCaughtUp = true;
  applyBuiltView(ctx);
}
