/** Parses operator commands: a JSON body, with the key of the operator sent as a bearer key. */
import * as z from 'zod';
import type { KeyHash, OperatorCommand } from '../core/types.js';

const MAX_LIMIT = 1_000;

const idSchema = z.string().min(1).max(128);
const limitSchema = z.int().min(1).max(MAX_LIMIT).default(50);

const commandSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('publish'),
    editId: idSchema,
    section: z.string(),
    baseVersion: z.int(),
    text: z.string(),
    author: z.string().min(1).max(256),
  }),
  z.strictObject({
    kind: z.literal('getConfiguration'),
    section: z.string().exactOptional(),
    version: z.int().exactOptional(),
  }),
  z.strictObject({
    kind: z.literal('checkConfiguration'),
    section: z.string(),
    text: z.string(),
  }),
  z.strictObject({ kind: z.literal('configurationHistory'), limit: limitSchema }),
  z.strictObject({ kind: z.literal('readAudit'), limit: limitSchema }),
  z.strictObject({ kind: z.literal('listOrders') }),
  z.strictObject({ kind: z.literal('liftQuarantine'), fingerprint: z.string() }),
  z.strictObject({ kind: z.literal('status') }),
]);

/** A command as it is sent, without the key of its author. */
export type WireCommand = z.input<typeof commandSchema>;

export type ParsedCommand =
  | { readonly kind: 'command'; readonly command: OperatorCommand }
  | { readonly kind: 'malformed'; readonly reason: string };

/**
 * Parses a command and adds the hash of the operator's key. Operators send the key itself and it is
 * hashed on receipt: the stored hashes are visible to every reader of the configuration, so a hash
 * must not be sufficient to act for a team.
 */
export function parseCommand(body: Uint8Array | undefined, keyHash: KeyHash): ParsedCommand {
  const parsed = commandSchema.safeParse(body === undefined ? undefined : parseJson(body));
  if (!parsed.success) {
    return { kind: 'malformed', reason: parsed.error.issues[0]?.message ?? '' };
  }
  const command = parsed.data;
  return {
    kind: 'command',
    command: command.kind === 'status' ? command : { ...command, keyHash },
  };
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return undefined;
  }
}
