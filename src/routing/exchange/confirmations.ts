/**
 * Lets the instances of a failure domain confirm the configuration and the list of upstreams to each
 * other, so that one of them polls the platform often and the others rarely, and so that an instance
 * that cannot read from the platform keeps serving as long as its peers can.
 *
 * Clocks are not compared. Each message carries the age of the sender's confirmation and the
 * sequence of the last message that it read from every peer. A peer knows when it sent that
 * message; the sender composed its own message later, so its confirmation is no older than that
 * send time minus the age. A delayed message can only make the confirmation seem older.
 */
import type { Millis } from '../../core/clock.js';
import { hash32 } from '../../core/hash.js';
import type { RoutingContext } from '../context.js';
import { confirmationAge, onPeerConfirmation, pollNewerVersion } from '../freshness/freshness.js';
import type { InstanceId } from '../types.js';
import type { RoutingMessage } from './exchangeState.js';
import { applyListNews, composeListNews } from './listNews.js';
import { domainPeers } from './members.js';

/**
 * Number of send times that are kept; peers acknowledge a message well before that many more are
 * sent.
 */
const MAX_SEND_TIMES = 64;

export type ConfirmationFields = Pick<
  RoutingMessage,
  'configurationVersion' | 'confirmationAgeMs' | 'heardFrom' | 'heardSequences' | 'list'
>;

/** Fields of a message without a confirmation, as sent to other failure domains. */
export const NO_CONFIRMATION: ConfirmationFields = {
  configurationVersion: 0,
  confirmationAgeMs: 0,
  heardFrom: [],
  heardSequences: [],
  list: undefined,
};

/** Composes this instance's confirmation for the message that is about to be sent. */
export function composeConfirmation(ctx: RoutingContext): ConfirmationFields {
  recordSendTime(ctx);
  const heard = domainPeers(ctx).filter(({ sequence }) => sequence >= 0);
  return {
    ...composeVersion(ctx),
    list: composeListNews(ctx),
    heardFrom: heard.map(({ id, incarnation }) => hashIncarnation(id, incarnation)),
    heardSequences: heard.map(({ sequence }) => sequence),
  };
}

function composeVersion(
  ctx: RoutingContext,
): Pick<ConfirmationFields, 'configurationVersion' | 'confirmationAgeMs'> {
  const ageMs = confirmationAge(ctx);
  const version = ctx.state.freshness.configuration?.version;
  if (ageMs === undefined || version === undefined)
    return { configurationVersion: 0, confirmationAgeMs: 0 };
  return { configurationVersion: version, confirmationAgeMs: Math.ceil(ageMs) };
}

/** Applies what a peer confirms: the configuration and the list of upstreams. */
export function applyConfirmation(ctx: RoutingContext, message: ConfirmationFields): void {
  const sentAt = acknowledgedSendTime(ctx, message);
  applyVersion(ctx, message, sentAt);
  if (sentAt !== undefined && message.list !== undefined) applyListNews(ctx, message.list, sentAt);
}

/** Reads the configuration if an instance, also one of another failure domain, has a newer version. */
export function noteNewerVersion(
  ctx: RoutingContext,
  { configurationVersion }: ConfirmationFields,
): void {
  const { configuration } = ctx.state.freshness;
  if (configuration !== undefined && configurationVersion > configuration.version)
    pollNewerVersion(ctx, configurationVersion);
}

/** Applies a peer's confirmation if it is for the active configuration version. */
function applyVersion(
  ctx: RoutingContext,
  message: ConfirmationFields,
  sentAt: Millis | undefined,
): void {
  const { configuration } = ctx.state.freshness;
  if (sentAt === undefined || message.configurationVersion === 0) return;
  if (message.configurationVersion !== configuration?.version) return;
  onPeerConfirmation(ctx, sentAt - message.confirmationAgeMs);
}

/** Clears the send times after a clock gap, which makes their ages unreliable. */
export function clearSendTimes(ctx: RoutingContext): void {
  ctx.state.exchange.sendTimes.clear();
}

function recordSendTime({ state, now }: RoutingContext): void {
  const { sendTimes, sequence } = state.exchange;
  sendTimes.set(sequence, now);
  sendTimes.delete(sequence - MAX_SEND_TIMES);
}

/** Returns when this instance sent the latest message that the peer had read. */
function acknowledgedSendTime(
  ctx: RoutingContext,
  message: ConfirmationFields,
): Millis | undefined {
  const { self, exchange } = ctx.state;
  const i = message.heardFrom.indexOf(hashIncarnation(self.id, self.incarnation));
  const sequence = message.heardSequences[i];
  return sequence === undefined ? undefined : exchange.sendTimes.get(sequence);
}

function hashIncarnation(id: InstanceId, incarnation: number): number {
  return hash32(`${id} ${incarnation}`);
}
