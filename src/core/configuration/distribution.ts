/**
 * Distributes the configuration between instances. The first reader of a domain sends new records to
 * the other instances of the domain. An instance that sees a higher version in a heartbeat requests
 * the records from that peer, which replies with records or, if it no longer has them all, with a
 * snapshot: a checkpoint of its state, one part per message.
 */
import { sendToInstance, type CoreContext } from '../context.js';
import { forEachOther, isLive, membersOf } from '../membership/memberIndex.js';
import type { InstanceId, PeerMessageOf, StreamRecord } from '../types.js';
import { decodePart, encodeCheckpointSteps } from './checkpoint.js';
import { addCheckpointPart, loadCheckpoint, enqueueRecords } from './intake.js';
import { CONFIGURATION_STREAM } from './records.js';
import { enqueueJob, isQueueFolded } from './work.js';

/** Time without a reply after which another peer is asked. */
const REQUEST_RETRY_MS = 1_000;

/** Sends new records to the other instances of this domain. */
export function pushRecords(
  ctx: CoreContext,
  from: number,
  records: readonly StreamRecord[],
): void {
  const { self, configuration } = ctx.state;
  const next = configuration.intakeNext;
  const value = { stream: CONFIGURATION_STREAM, records: [...records], from, next };
  membersOf(ctx.state, self.domain)
    .filter((member) => member.id !== self.id)
    .forEach((member) => sendToInstance(ctx, member.id, { $case: 'configurationRecords', value }));
}

export function onConfigurationRecords(
  ctx: CoreContext,
  from: InstanceId,
  message: PeerMessageOf<'configurationRecords'>,
): void {
  if (message.stream !== CONFIGURATION_STREAM) return;
  const { distribution } = ctx.state.configuration;
  const newRecords = enqueueRecords(ctx, message.records, message.from, message.next);
  if (newRecords === undefined) requestRecords(ctx, from);
  else if (distribution.asked === from) distribution.askedAt = undefined;
}

/** Records the configuration version of a peer if it is the highest so far. */
export function recordPeerVersion(ctx: CoreContext, peer: InstanceId, version: number): void {
  const { configuration } = ctx.state;
  const { distribution } = configuration;
  if (version <= configuration.fold.version || version <= (distribution.ahead?.version ?? -1)) {
    return;
  }
  distribution.ahead = { peer, version };
}

/** Requests records from a peer that is ahead, once all records read so far are folded. */
export function requestRecordsIfBehind(ctx: CoreContext): void {
  const { configuration } = ctx.state;
  const { distribution, fold } = configuration;
  if ((distribution.ahead?.version ?? -1) <= fold.version) distribution.ahead = undefined;
  if (distribution.ahead === undefined) return;
  if (!isQueueFolded(configuration) || fold.blocked !== undefined) return;
  if (distribution.askedAt !== undefined && ctx.now - distribution.askedAt < REQUEST_RETRY_MS)
    return;
  const peer = choosePeer(ctx, distribution.ahead.peer);
  if (peer === undefined) distribution.ahead = undefined;
  else requestRecords(ctx, peer);
}

/** Chooses the first peer that reported the version; if it did not reply, a random peer that is ahead. */
function choosePeer(ctx: CoreContext, first: InstanceId): InstanceId | undefined {
  const { distribution, fold } = ctx.state.configuration;
  if (distribution.asked !== first && isLive(ctx.state, first)) return first;
  const peersAhead: InstanceId[] = [];
  forEachOther(ctx.state, (member) => {
    if (member.configurationVersion > fold.version) peersAhead.push(member.id);
  });
  return peersAhead[ctx.state.random.nextInt(Math.max(peersAhead.length, 1))];
}

function requestRecords(ctx: CoreContext, peer: InstanceId): void {
  const { distribution, fold, intakeNext } = ctx.state.configuration;
  distribution.askedAt = ctx.now;
  distribution.asked = peer;
  const value = { version: fold.version, next: intakeNext };
  sendToInstance(ctx, peer, { $case: 'configurationRequest', value });
}

export function onConfigurationRequest(
  ctx: CoreContext,
  from: InstanceId,
  request: PeerMessageOf<'configurationRequest'>,
): void {
  const { configuration } = ctx.state;
  const { distribution, intakeNext, fold } = configuration;
  if (request.next >= distribution.recentFrom && request.next <= intakeNext) {
    const records = distribution.recent.filter((record) => record.offset >= request.next);
    const value = {
      stream: CONFIGURATION_STREAM,
      records: [...records],
      from: request.next,
      next: intakeNext,
    };
    sendToInstance(ctx, from, { $case: 'configurationRecords', value });
    return;
  }
  if (fold.version >= 0 && request.next < fold.next) sendSnapshot(ctx, from);
}

function sendSnapshot(ctx: CoreContext, to: InstanceId): void {
  const { self, configuration } = ctx.state;
  const id = `${self.id}/${self.incarnation}/${configuration.nextCheckpoint}`;
  configuration.nextCheckpoint += 1;
  enqueueJob(
    ctx,
    (function* encode() {
      const { version, next } = configuration.fold;
      const parts = yield* encodeCheckpointSteps(configuration.fold, id);
      return (completionCtx: CoreContext) => {
        parts.forEach((document) => {
          sendToInstance(completionCtx, to, {
            $case: 'configurationSnapshot',
            value: { version, next, document },
          });
        });
      };
    })(),
  );
}

export function onConfigurationSnapshot(
  ctx: CoreContext,
  message: PeerMessageOf<'configurationSnapshot'>,
): void {
  const { distribution, fold } = ctx.state.configuration;
  if (message.next <= fold.next) return;
  const part = decodePart(message.document);
  if (part === undefined) return;
  const { assembly, parts } = addCheckpointPart(distribution.assembly, part);
  distribution.assembly = parts === undefined ? assembly : undefined;
  // The reply is still arriving, so the timeout starts again.
  distribution.askedAt = ctx.now;
  if (parts !== undefined) loadCheckpoint(ctx, parts);
}
