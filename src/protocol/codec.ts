/** Codec of the batches that instances exchange, as bytes. */
import type { PeerMessage } from '../core/types.js';
import { Batch, type Sender } from './generated/peer.js';

/** Framing of a batch on its link: gRPC's five bytes and the frame head of HTTP/2. */
export const FRAMING_BYTES = 14;

/** Messages that one instance sends to another at once. */
export interface PeerBatch {
  readonly sender: Sender;
  readonly messages: readonly PeerMessage[];
}

/** Encodes a batch as protobuf (see peer.proto). */
export function encodeBatch(batch: PeerBatch): Uint8Array {
  const messages = batch.messages.map((body) => ({ body }));
  return Batch.encode({ sender: batch.sender, messages }).finish();
}

/**
 * Decodes a batch. Messages of a kind that this version does not know are left out. Throws if the
 * bytes are no batch or name no sender.
 */
export function decodeBatch(bytes: Uint8Array): PeerBatch {
  const { sender, messages } = Batch.decode(bytes);
  if (sender === undefined || sender.id === '') throw new Error('The batch names no sender.');
  const known = messages.map(({ body }) => body).filter((body) => body !== undefined);
  return { sender, messages: known };
}
