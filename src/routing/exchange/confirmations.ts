/**
 * Confirmations of the configuration that instances of a failure domain give each other, so that one
 * of them reads the platform often and the others seldom, and so that an instance which the platform
 * turns away goes on as long as its neighbours are served.
 *
 * Clocks are not compared. Each message tells how old the sender's confirmation is, and which news of
 * every neighbour it has read. A neighbour knows when it sent those; the sender composed its message
 * later, so that its confirmation is no older than that time less the age. Late messages make it
 * older only.
 */
import type { Millis } from '../../core/clock.js';
import { hash32 } from '../../core/hash.js';
import type { RoutingContext } from '../context.js';
import { confirmationAge, onPeerConfirmation, pollNewerVersion } from '../freshness/freshness.js';
import type { InstanceId } from '../types.js';
import type { News } from './exchangeState.js';
import { nearPeers } from './members.js';

/** Sent news whose times are kept; neighbours answer well within so many. */
const MAX_SENT = 64;

export type ConfirmationNews = Pick<
  News,
  'configurationVersion' | 'confirmationAgeMs' | 'heardFrom' | 'heardSequences'
>;

/** What messages to other failure domains tell. */
export const NO_CONFIRMATION: ConfirmationNews = {
  configurationVersion: 0,
  confirmationAgeMs: 0,
  heardFrom: [],
  heardSequences: [],
};

/** Tells neighbours of this instance's confirmation, in the news that are sent now. */
export function composeConfirmation(ctx: RoutingContext): ConfirmationNews {
  noteSent(ctx);
  const ageMs = confirmationAge(ctx);
  const version = ctx.state.freshness.configuration?.version;
  if (ageMs === undefined || version === undefined) return NO_CONFIRMATION;
  const heard = nearPeers(ctx).filter(({ sequence }) => sequence >= 0);
  return {
    configurationVersion: version,
    confirmationAgeMs: Math.ceil(ageMs),
    heardFrom: heard.map(({ id, incarnation }) => startHash(id, incarnation)),
    heardSequences: heard.map(({ sequence }) => sequence),
  };
}

/** Takes a neighbour's confirmation, if it is of the version in force here. */
export function takeConfirmation(ctx: RoutingContext, told: ConfirmationNews): void {
  const { configuration } = ctx.state.freshness;
  if (configuration === undefined || told.configurationVersion === 0) return;
  if (told.configurationVersion > configuration.version) {
    pollNewerVersion(ctx, told.configurationVersion);
    return;
  }
  const sentAt = timeHeard(ctx, told);
  if (sentAt === undefined || told.configurationVersion < configuration.version) return;
  onPeerConfirmation(ctx, sentAt - told.confirmationAgeMs);
}

/** Forgets when news were sent, as time may have passed since that the clock did not count. */
export function forgetSentTimes(ctx: RoutingContext): void {
  ctx.state.exchange.sentAt.clear();
}

function noteSent({ state, now }: RoutingContext): void {
  const { sentAt, sequence } = state.exchange;
  sentAt.set(sequence, now);
  sentAt.delete(sequence - MAX_SENT);
}

/** Time at which this instance sent the latest news that the neighbour had read. */
function timeHeard(ctx: RoutingContext, told: ConfirmationNews): Millis | undefined {
  const { self, exchange } = ctx.state;
  const i = told.heardFrom.indexOf(startHash(self.id, self.incarnation));
  const sequence = told.heardSequences[i];
  return sequence === undefined ? undefined : exchange.sentAt.get(sequence);
}

function startHash(id: InstanceId, incarnation: number): number {
  return hash32(`${id} ${incarnation}`);
}
