/**
 * Brings instances that may lack suspicions up to date. An instance that has just started or was
 * paused requests the suspicions of other members, and runs no requests until one has answered or
 * the catch-up times out. New members are sent all suspicions without a request.
 */
import type { Millis } from '../clock.js';
import { scheduleAllAnnouncements } from '../dispatch/queues.js';
import { sendToInstance, type CoreContext } from '../context.js';
import { forEachOther } from '../membership/membership.js';
import type { InstanceId } from '../types.js';
import { sendAllSuspicions } from './suspicions.js';

/** Time between ticks above which an instance assumes that it was paused. */
const PAUSE_DETECTION_MS = 1_000;
/** Maximum time to wait for an answer. */
const CATCH_UP_TIMEOUT_MS = 3_000;

const CATCH_UP_TICK_MS = 20;
/** Number of members asked per tick. */
const MEMBERS_ASKED_PER_TICK = 3;

export function startCatchUp(ctx: CoreContext): void {
  const { quarantine } = ctx.state;
  quarantine.catchUp = 'due';
  quarantine.catchUpUntil = ctx.now + CATCH_UP_TIMEOUT_MS;
  quarantine.lastTickAt = ctx.now;
}

/** Requests suspicions while catching up, and sends them to new members. */
export function syncSuspicions(ctx: CoreContext): void {
  const { quarantine } = ctx.state;
  if (ctx.now - quarantine.lastTickAt > PAUSE_DETECTION_MS) startCatchUp(ctx);
  quarantine.lastTickAt = ctx.now;
  if (quarantine.catchUp !== 'done') advanceCatchUp(ctx);
  sendToNewMembers(ctx);
}

/** Returns the time until the next tick, which is shorter until the catch-up is done. */
export function nextTickDelay(ctx: CoreContext): Millis {
  const isDone = ctx.state.quarantine.catchUp === 'done';
  return isDone ? ctx.state.settings.quarantineTickMs : CATCH_UP_TICK_MS;
}

export function finishCatchUp(ctx: CoreContext): void {
  const { quarantine } = ctx.state;
  if (quarantine.catchUp === 'done') return;
  quarantine.catchUp = 'done';
  scheduleAllAnnouncements(ctx);
}

function advanceCatchUp(ctx: CoreContext): void {
  const { quarantine, membership } = ctx.state;
  if (ctx.now >= quarantine.catchUpUntil) {
    finishCatchUp(ctx);
  } else if (membership.members.size > 1) {
    quarantine.catchUp = 'asking';
    requestSuspicions(ctx);
  }
}

function requestSuspicions(ctx: CoreContext): void {
  const others: InstanceId[] = [];
  forEachOther(ctx.state, (member) => others.push(member.id));
  for (let asked = 0; asked < MEMBERS_ASKED_PER_TICK && others.length > 0; asked += 1) {
    const [to] = others.splice(ctx.state.random.nextInt(others.length), 1);
    if (to === undefined) return;
    sendToInstance(ctx, to, { $case: 'suspicions', value: { entries: [], wantsAll: true } });
  }
}

function sendToNewMembers(ctx: CoreContext): void {
  const { informed, suspects } = ctx.state.quarantine;
  informed.forEach((_, id) => {
    if (!ctx.state.membership.members.has(id)) informed.delete(id);
  });
  forEachOther(ctx.state, (member) => {
    if (informed.get(member.id) === member.incarnation) return;
    informed.set(member.id, member.incarnation);
    if (suspects.size > 0) sendAllSuspicions(ctx, member.id);
  });
}
