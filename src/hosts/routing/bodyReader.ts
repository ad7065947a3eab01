/** Reads the body of a caller's request, as far as it may be kept. */
import type { IncomingMessage } from 'node:http';
import { SHORT_REQUEST_BYTES } from '../../routing/load/byteBudget.js';

export type BodyResult =
  | { readonly kind: 'read'; readonly body: Uint8Array }
  | { readonly kind: 'tooLong' }
  /** The bytes may not be kept; what still arrives is dropped. */
  | { readonly kind: 'refused' };

export interface BodyReaderOptions {
  /** Most bytes that a body may have. */
  readonly maxBytes: number;
  /** Returns whether this many bytes may be kept. Called before the first of them is read. */
  readonly mayKeep: (bytes: number) => boolean | Promise<boolean>;
}

/** Reads a body. Rejects if the caller disconnects. */
export async function readBodyWithin(
  req: IncomingMessage,
  options: BodyReaderOptions,
): Promise<BodyResult> {
  const declared = req.headers['content-length'];
  const result =
    declared === undefined
      ? await readUndeclared(req, options)
      : await readDeclared(req, Number(declared), options);
  if (result.kind === 'refused') req.resume();
  return result;
}

async function readDeclared(
  req: IncomingMessage,
  length: number,
  { maxBytes, mayKeep }: BodyReaderOptions,
): Promise<BodyResult> {
  if (length > maxBytes) return { kind: 'tooLong' };
  if (!(await mayKeep(length))) return { kind: 'refused' };
  // A buffer of its own, so that the parts of a long body are not kept beside the whole.
  const body = Buffer.allocUnsafeSlow(length);
  let size = 0;
  for await (const part of parts(req)) {
    part.copy(body, size);
    size += part.length;
  }
  return { kind: 'read', body };
}

/** Reads a body in chunks. Once it is longer than a short one, it may be as long as any. */
async function readUndeclared(
  req: IncomingMessage,
  { maxBytes, mayKeep }: BodyReaderOptions,
): Promise<BodyResult> {
  const chunks: Buffer[] = [];
  let size = 0;
  let keptBytes = Math.min(maxBytes, SHORT_REQUEST_BYTES);
  if (!(await mayKeep(keptBytes))) return { kind: 'refused' };
  for await (const part of parts(req)) {
    size += part.length;
    if (size > maxBytes) return { kind: 'tooLong' };
    if (size > keptBytes) {
      keptBytes = maxBytes;
      if (!(await mayKeep(keptBytes))) return { kind: 'refused' };
    }
    chunks.push(part);
  }
  return { kind: 'read', body: Buffer.concat(chunks) };
}

/** Leaving the loop early must not destroy the connection: the refusal is sent on it. */
function parts(req: IncomingMessage): AsyncIterableIterator<Buffer> {
  return req.iterator({ destroyOnReturn: false }) as AsyncIterableIterator<Buffer>;
}
