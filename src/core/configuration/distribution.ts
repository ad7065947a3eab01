/**
 * Passes the configuration on between instances. The first reader of a domain sends new records to
 * the others; who sees a higher version in a heartbeat and has no news of it asks that peer, which
 * answers with records or, where they do not reach back, with its state in parts.
 */
import { sendTo, type CoreContext } from '../context.js';
import { forEachOther, isLive, membersOf } from '../membership/memberIndex.js';
import type { InstanceId, PeerMessageOf, StreamRecord } from '../types.js';
import { decodePart, encodeCheckpointSteps } from './checkpoint.js';
import { assemble, loadCheckpoint, takeRecords } from './intake.js';
import { CONFIGURATION_STREAM } from './records.js';
import { addJob, isFolded } from './work.js';

/** Time after which another peer is asked. */
const ASK_AGAIN_MS = 1_000;

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
    .forEach((member) => sendTo(ctx, member.id, { $case: 'configurationRecords', value }));
}

export function onConfigurationRecords(
  ctx: CoreContext,
  from: InstanceId,
  message: PeerMessageOf<'configurationRecords'>,
): void {
  if (message.stream !== CONFIGURATION_STREAM) return;
  const { distribution } = ctx.state.configuration;
  const taken = takeRecords(ctx, message.records, message.from, message.next);
  if (taken === undefined) ask(ctx, from);
  else if (distribution.asked === from) distribution.askedAt = undefined;
}

/** Notes the version in force at a peer. */
export function onPeerVersion(ctx: CoreContext, peer: InstanceId, version: number): void {
  const { configuration } = ctx.state;
  const { distribution } = configuration;
  if (version <= configuration.fold.version || version <= (distribution.ahead?.version ?? -1)) {
    return;
  }
  distribution.ahead = { peer, version };
}

/** Asks a peer that is ahead, once what was read is folded. */
export function askIfBehind(ctx: CoreContext): void {
  const { configuration } = ctx.state;
  const { distribution, fold } = configuration;
  if ((distribution.ahead?.version ?? -1) <= fold.version) distribution.ahead = undefined;
  if (distribution.ahead === undefined) return;
  if (!isFolded(configuration) || fold.blocked !== undefined) return;
  if (distribution.askedAt !== undefined && ctx.now - distribution.askedAt < ASK_AGAIN_MS) return;
  const peer = choosePeer(ctx, distribution.ahead.peer);
  if (peer === undefined) distribution.ahead = undefined;
  else ask(ctx, peer);
}

/** The peer that showed the version first; if it did not answer, any other that is ahead. */
function choosePeer(ctx: CoreContext, first: InstanceId): InstanceId | undefined {
  const { distribution, fold } = ctx.state.configuration;
  if (distribution.asked !== first && isLive(ctx.state, first)) return first;
  const ahead: InstanceId[] = [];
  forEachOther(ctx.state, (member) => {
    if (member.configurationVersion > fold.version) ahead.push(member.id);
  });
  return ahead[ctx.state.random.nextInt(Math.max(ahead.length, 1))];
}

function ask(ctx: CoreContext, peer: InstanceId): void {
  const { distribution, fold, intakeNext } = ctx.state.configuration;
  distribution.askedAt = ctx.now;
  distribution.asked = peer;
  const value = { version: fold.version, next: intakeNext };
  sendTo(ctx, peer, { $case: 'configurationRequest', value });
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
    sendTo(ctx, from, { $case: 'configurationRecords', value });
    return;
  }
  if (fold.version >= 0 && request.next < fold.next) sendSnapshot(ctx, from);
}

function sendSnapshot(ctx: CoreContext, to: InstanceId): void {
  const { self, configuration } = ctx.state;
  const id = `${self.id}/${self.incarnation}/${configuration.nextCheckpoint}`;
  configuration.nextCheckpoint += 1;
  addJob(
    ctx,
    (function* encode() {
      const { version, next } = configuration.fold;
      const parts = yield* encodeCheckpointSteps(configuration.fold, id);
      return (later: CoreContext) => {
        parts.forEach((document) => {
          sendTo(later, to, { $case: 'configurationSnapshot', value: { version, next, document } });
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
  const { assembly, parts } = assemble(distribution.assembly, part);
  distribution.assembly = parts === undefined ? assembly : undefined;
  // Parts that still come in are an answer under way.
  distribution.askedAt = ctx.now;
  if (parts !== undefined) loadCheckpoint(ctx, parts);
}
