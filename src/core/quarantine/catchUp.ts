/**
 * Bringing instances that know nothing up to date. An instance that has just started, or that was
 * paused, asks the others for their suspicions and runs nothing until one has answered, or until it
 * is clear that nobody will. A member that appears anew is told without being asked.
 */
import type { Millis } from '../clock.js';
import { announceAll } from '../dispatch/queues.js';
import { sendTo, type CoreContext } from '../context.js';
import { forEachOther } from '../membership/membership.js';
import type { InstanceId } from '../types.js';
import { sendAll } from './suspicions.js';

/** Time without a tick after which an instance takes itself for paused. */
const PAUSE_MS = 1_000;
/** Longest wait for an answer. */
const CATCH_UP_MS = 3_000;

const CATCH_UP_TICK_MS = 20;
/** Members that are asked at each tick. */
const ASKED_AT_A_TIME = 3;

export function startCatchUp(ctx: CoreContext): void {
  const { quarantine } = ctx.state;
  quarantine.catchUp = 'due';
  quarantine.catchUpUntil = ctx.now + CATCH_UP_MS;
  quarantine.lastTickAt = ctx.now;
}

/** Asks and tells as members come and go. */
export function keepInformed(ctx: CoreContext): void {
  const { quarantine } = ctx.state;
  if (ctx.now - quarantine.lastTickAt > PAUSE_MS) startCatchUp(ctx);
  quarantine.lastTickAt = ctx.now;
  if (quarantine.catchUp !== 'done') advanceCatchUp(ctx);
  informNewMembers(ctx);
}

/** Time until the next look; short as long as this instance may know less than the others. */
export function catchUpTick(ctx: CoreContext): Millis {
  const isDone = ctx.state.quarantine.catchUp === 'done';
  return isDone ? ctx.state.settings.quarantineTickMs : CATCH_UP_TICK_MS;
}

export function noteCaughtUp(ctx: CoreContext): void {
  const { quarantine } = ctx.state;
  if (quarantine.catchUp === 'done') return;
  quarantine.catchUp = 'done';
  announceAll(ctx);
}

function advanceCatchUp(ctx: CoreContext): void {
  const { quarantine, membership } = ctx.state;
  if (ctx.now >= quarantine.catchUpUntil) {
    noteCaughtUp(ctx);
  } else if (membership.members.size > 1) {
    quarantine.catchUp = 'asking';
    askSome(ctx);
  }
}

function askSome(ctx: CoreContext): void {
  const others: InstanceId[] = [];
  forEachOther(ctx.state, (member) => others.push(member.id));
  for (let asked = 0; asked < ASKED_AT_A_TIME && others.length > 0; asked += 1) {
    const [to] = others.splice(ctx.state.random.nextInt(others.length), 1);
    if (to === undefined) return;
    sendTo(ctx, to, { $case: 'suspicions', value: { entries: [], wantsAll: true } });
  }
}

function informNewMembers(ctx: CoreContext): void {
  const { informed, suspects } = ctx.state.quarantine;
  informed.forEach((_, id) => {
    if (!ctx.state.membership.members.has(id)) informed.delete(id);
  });
  forEachOther(ctx.state, (member) => {
    if (informed.get(member.id) === member.incarnation) return;
    informed.set(member.id, member.incarnation);
    if (suspects.size > 0) sendAll(ctx, member.id);
  });
}
