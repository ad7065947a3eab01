/**
 * Faults that a stand-in brings about, as bodies of `POST /_control/faults`. Faults with a rate hit
 * a share of the requests, drawn from the seed of the stand-in; each stays until `clear`.
 */
import * as z from 'zod';

const rate = z.number().min(0).max(1);
const restartAfterMs = z.number().min(0).default(1_000);

/** Cuts all connections, forgets all state and starts again after a time. */
const crash = z.strictObject({ kind: z.literal('crash'), restartAfterMs });
/** Accepts connections and requests, but does no work and answers nothing. */
const hang = z.strictObject({ kind: z.literal('hang') });
/** Leaves the connections of this moment open without a byte in either direction; new ones work. */
const silent = z.strictObject({ kind: z.literal('silent') });
/** Ends all faults. */
const clear = z.strictObject({ kind: z.literal('clear') });
/** Crashes whenever a request whose text contains the marker is run. */
const poison = z.strictObject({
  kind: z.literal('poison'),
  marker: z.string().min(1),
  restartAfterMs,
});
/** Multiplies the time that work takes. */
const slow = z.strictObject({ kind: z.literal('slow'), factor: z.number().positive() });

/** Sends the answer of another request under its id, from the head on or from mid-stream on. */
const crossed = z.strictObject({
  kind: z.literal('crossed'),
  rate,
  at: z.enum(['head', 'middle']).default('head'),
});
/** Holds answers back. */
const late = z.strictObject({ kind: z.literal('late'), rate, delayMs: z.number().min(0) });
/** Ends streams before their end mark: by a reset, or as if they were complete. */
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

/** Executes the call, then cuts the connection. */
const lostReply = z.strictObject({ kind: z.literal('lost-reply'), rate });
/** Refuses calls before they are executed. */
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
  /** Answers nothing, or 503, for the named parts. */
  z.strictObject({
    kind: z.literal('outage'),
    mode: z.enum(['refuse', 'hang']).default('refuse'),
    parts,
  }),
  /** Appends take effect, but their replies are lost. */
  z.strictObject({ kind: z.literal('lost-reply'), rate }),
  /** Adds a delay to each call. */
  z.strictObject({ kind: z.literal('slow'), delayMs: z.number().min(0), parts }),
]);
export type PlatformFault = z.input<typeof platformFaultSchema>;
export type ParsedPlatformFault = z.output<typeof platformFaultSchema>;
