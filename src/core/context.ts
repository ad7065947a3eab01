/** The context passed to every sub-reducer along with its event: state, time and effect output. */
import type { Millis } from './clock.js';
import type { DiagnosticArgs, DiagnosticCode } from './diagnostics.js';
import type { CoreState } from './state.js';
import type {
  Effect,
  InstanceId,
  LogLevel,
  LogComponent,
  PeerMessage,
  TimerName,
} from './types.js';

/** Created for each call of `reduce`. */
export interface CoreContext {
  readonly state: CoreState;
  readonly now: Millis;
  readonly emit: (effect: Effect) => void;
  /** Queues a message to this instance itself; it is reduced before `reduce` returns. */
  readonly deliverToSelf: (message: PeerMessage) => void;
}

/** Schedules a timer to fire after `delay`, replacing its previous schedule. */
export function setTimer(ctx: CoreContext, timer: TimerName, delay: Millis): void {
  ctx.emit({ kind: 'setTimer', timer, at: ctx.now + delay });
}

/**
 * Sends a message to an instance. A message to this instance is queued locally, and one to an
 * unknown instance is dropped.
 */
export function sendToInstance(ctx: CoreContext, to: InstanceId, message: PeerMessage): void {
  if (to === ctx.state.self.id) {
    ctx.deliverToSelf(message);
    return;
  }
  const member = ctx.state.membership.members.get(to);
  if (member === undefined) return;
  ctx.emit({ kind: 'sendPeer', to, address: member.address, message });
}

export function emitLog(
  ctx: CoreContext,
  level: LogLevel,
  part: LogComponent,
  code: DiagnosticCode,
  args: DiagnosticArgs = {},
): void {
  ctx.emit({ kind: 'log', level, part, code, args });
}

/** Adds `value` to a metric. */
export function emitMetric(
  ctx: CoreContext,
  metric: string,
  value: number,
  tags: Readonly<Record<string, string>> = {},
): void {
  ctx.emit({ kind: 'count', metric, value, tags });
}

/** Adds an audit trail entry whose author is this instance rather than an operator. */
export function emitAuditEntry(
  ctx: CoreContext,
  action: string,
  subject: string,
  detail: string,
  accepted = true,
): void {
  const entry = { at: ctx.now, who: ctx.state.self.id, action, subject, accepted, detail };
  ctx.emit({ kind: 'audit', entry });
}
