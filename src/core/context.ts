/** What a sub-reducer is given besides its event: the state, the time and a place for effects. */
import type { Millis } from './clock.js';
import type { DiagnosticArgs, DiagnosticCode } from './diagnostics.js';
import type { CoreState } from './state.js';
import type { Effect, InstanceId, LogLevel, Part, PeerMessage, TimerName } from './types.js';

/** Lives for one call of `reduce`. */
export interface CoreContext {
  readonly state: CoreState;
  readonly now: Millis;
  readonly emit: (effect: Effect) => void;
  /** Queues a message to this instance itself; it is reduced before the call returns. */
  readonly deliverToSelf: (message: PeerMessage) => void;
}

/** Sets a timer, replacing an earlier setting. */
export function setTimer(ctx: CoreContext, timer: TimerName, after: Millis): void {
  ctx.emit({ kind: 'setTimer', timer, at: ctx.now + after });
}

/** Sends a message to an instance, or reduces it at once if that is this instance. */
export function sendTo(ctx: CoreContext, to: InstanceId, message: PeerMessage): void {
  if (to === ctx.state.self.id) {
    ctx.deliverToSelf(message);
    return;
  }
  const member = ctx.state.membership.members.get(to);
  if (member === undefined) return;
  ctx.emit({ kind: 'sendPeer', to, address: member.address, message });
}

/** Writes a log line. */
export function logLine(
  ctx: CoreContext,
  level: LogLevel,
  part: Part,
  code: DiagnosticCode,
  args: DiagnosticArgs = {},
): void {
  ctx.emit({ kind: 'log', level, part, code, args });
}

/** Counts a metric. */
export function count(
  ctx: CoreContext,
  metric: string,
  value: number,
  tags: Readonly<Record<string, string>> = {},
): void {
  ctx.emit({ kind: 'count', metric, value, tags });
}

/** Writes a line of the audit trail in the name of the system. */
export function audit(
  ctx: CoreContext,
  action: string,
  subject: string,
  detail: string,
  accepted = true,
): void {
  const entry = { at: ctx.now, who: ctx.state.self.id, action, subject, accepted, detail };
  ctx.emit({ kind: 'audit', entry });
}
