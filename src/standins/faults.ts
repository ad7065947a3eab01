/**
 * Faults that a stand-in can inject: the bodies of `POST /_control/faults`. Faults with a `rate`
 * affect that fraction of the requests, chosen by the seeded generator of the stand-in. A fault
 * stays active until `clear`, except for single events such as `crash`.
 */
import * as z from 'zod';

const rate = z.number().min(0).max(1);
const restartAfterMs = z.number().min(0).default(1_000);

/** Resets all connections, discards the state and listens again after `restartAfterMs`. */
const crash = z.strictObject({ kind: z.literal('crash'), restartAfterMs });
/** Accepts connections and requests, but processes and answers none. */
const hang = z.strictObject({ kind: z.literal('hang') });
/** Keeps the current connections open without passing any bytes; new connections work. */
const silent = z.strictObject({ kind: z.literal('silent') });
/** Removes all faults, but connections that were silenced remain silent. */
const clear = z.strictObject({ kind: z.literal('clear') });
/** Crashes whenever a request that contains the marker is executed. */
const poison = z.strictObject({
  kind: z.literal('poison'),
  marker: z.string().min(1),
  restartAfterMs,
});
/** Multiplies processing times by `factor`. */
const slow = z.strictObject({ kind: z.literal('slow'), factor: z.number().positive() });

/** Sends the answer to another request, with that request's id, from the start or from mid-stream. */
const crossed = z.strictObject({
  kind: z.literal('crossed'),
  rate,
  at: z.enum(['head', 'middle']).default('head'),
});
/** Delays answers. */
const late = z.strictObject({ kind: z.literal('late'), rate, delayMs: z.number().min(0) });
/** Ends streams before their end marker: by a connection reset or by a regular close. */
const cut = z.strictObject({
  kind: z.literal('cut'),
  rate,
  ending: z.enum(['reset', 'close']).default('reset'),
});

export const engineFaultSchema = z.discriminatedUnion('kind', [
  crash,
  hang,
  silent,
  clear,
  poison,
  slow,
  crossed,
  late,
  cut,
]);
export type EngineFault = z.input<typeof engineFaultSchema>;
export type ParsedEngineFault = z.output<typeof engineFaultSchema>;

/** Executes the call, then resets the connection instead of answering. */
const lostReply = z.strictObject({ kind: z.literal('lost-reply'), rate });
/** Rejects calls with `status` without executing them. */
const refuse = z.strictObject({
  kind: z.literal('refuse'),
  rate,
  status: z.number().int().min(400).max(599).default(503),
});

export const serviceFaultSchema = z.discriminatedUnion('kind', [
  crash,
  hang,
  silent,
  clear,
  poison,
  slow,
  crossed,
  late,
  lostReply,
  refuse,
]);
export type ServiceFault = z.input<typeof serviceFaultSchema>;
export type ParsedServiceFault = z.output<typeof serviceFaultSchema>;

export const PLATFORM_PARTS = ['log', 'list', 'weights'] as const;
export type PlatformPart = (typeof PLATFORM_PARTS)[number];
const parts = z.array(z.enum(PLATFORM_PARTS)).default([...PLATFORM_PARTS]);

export const platformFaultSchema = z.discriminatedUnion('kind', [
  silent,
  clear,
  /** Answers calls to the given parts with 503, or not at all. */
  z.strictObject({
    kind: z.literal('outage'),
    mode: z.enum(['refuse', 'hang']).default('refuse'),
    parts,
  }),
  /** Executes appends, but drops their replies. */
  z.strictObject({ kind: z.literal('lost-reply'), rate }),
  /** Delays each call to the given parts. */
  z.strictObject({ kind: z.literal('slow'), delayMs: z.number().min(0), parts }),
]);
export type PlatformFault = z.input<typeof platformFaultSchema>;
export type ParsedPlatformFault = z.output<typeof platformFaultSchema>;
