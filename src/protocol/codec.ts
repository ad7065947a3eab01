/** Encodes and decodes the message batches that instances exchange. */
import type { PeerMessage } from '../core/types.js';
import { Batch, type Sender } from './generated/peer.js';

/** Framing overhead of a batch: five bytes of gRPC and nine of the HTTP/2 frame header. */
export const FRAMING_BYTES = 14;

/** Messages that one instance sends to another together. */
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
 * Decodes a batch. Messages of a kind that is unknown to this version are omitted. Throws if the
 * bytes are not a valid batch or the sender is missing.
 */
export function decodeBatch(bytes: Uint8Array): PeerBatch {
  const { sender, messages } = Batch.decode(bytes);
  if (sender === undefined || sender.id === '') throw new Error('The batch names no sender.');
  const known = messages.map(({ body }) => body).filter((body) => body !== undefined);
  return { sender, messages: known };
}
