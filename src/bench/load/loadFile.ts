/**
 * The load file: customers with their mixes, floods and bursts, the instances to call and the
 * stand-ins to read use and logs from. YAML, checked before anything is sent.
 */
import { LineCounter, parseDocument } from 'yaml';
import * as z from 'zod';

/** Requests that a load may have in all. */
const MAX_REQUESTS = 2_000_000;

const name = z.string().min(1);
const count = z.number().int().min(0);
const positiveCount = z.number().int().min(1);
const span = z.number().min(0);
const rate = z.number().min(0);

/** A whole number drawn evenly from a closed range. */
const range = z
  .tuple([positiveCount, positiveCount])
  .refine(([low, high]) => low <= high, { message: 'the range ends before it starts' });

/** A completion at a model pool. */
const completion = z.strictObject({
  kind: z.literal('completion'),
  pool: name,
  share: z.number().positive().default(1),
  promptWords: range.default([10, 40]),
  /** Words at the start of every prompt of the customer, for prefix caches. */
  sharedWords: count.default(0),
  maxTokens: range.default([8, 64]),
  stream: z.boolean().default(true),
  /** Factor between the cost and its hint is drawn from 1/n to n; no hint without it. */
  hintError: z.number().min(1).optional(),
  deadlineMs: z.number().positive().optional(),
});

/** A call to a plain service. */
const call = z.strictObject({
  kind: z.literal('call'),
  pool: name,
  share: z.number().positive().default(1),
  method: z.enum(['POST', 'PUT', 'GET']).default('POST'),
  path: z.string().startsWith('/').default('/'),
  bodyBytes: range.default([32, 256]),
  /** Whether the call may be repeated; one that may not carries an `Idempotency-Key`. */
  idempotent: z.boolean().default(true),
  /** Share of the calls with a key that the caller sends again, under the same key. */
  repeatShare: z.number().min(0).max(1).default(0),
  /** Longest time until a call is sent again. */
  repeatWithinMs: span.default(500),
  deadlineMs: z.number().positive().optional(),
});

const work = z.discriminatedUnion('kind', [completion, call]);
const flood = z.strictObject({ fromMs: span, toMs: span, ratePerSecond: rate });
const burst = z.strictObject({ atMs: span, requests: positiveCount });

const customer = z.strictObject({
  name,
  /** Bearer key. */
  key: z.string().min(1),
  /** Entitlement weight, for shares and the fairness gap. */
  weight: z.number().positive().default(1),
  ratePerSecond: rate.default(0),
  mix: z.array(work).min(1),
  floods: z.array(flood).default([]),
  bursts: z.array(burst).default([]),
});

const pool = z.strictObject({
  name,
  /** Service units; an instance that is to agree with the report uses the same. */
  cost: z
    .strictObject({
      perPromptToken: rate.default(0),
      perOutputToken: rate.default(1),
      perCall: rate.default(1),
    })
    .prefault({}),
});

const target = z.strictObject({ name, url: z.url() });

const loadFileSchema = z
  .strictObject({
    seed: z.number().int().default(1),
    durationMs: z.number().positive(),
    /** Time that requests in flight have to end after the last arrival. */
    drainMs: span.default(30_000),
    /** Time without a byte after which a request counts as waiting for the fairness gap. */
    waitingAfterMs: span.default(250),
    /** Interval of the samples of gap, use and control bytes. */
    sampleMs: z.number().min(10).default(500),
    /** Requests in flight at most; arrivals beyond are counted as not sent. */
    maxInFlight: positiveCount.default(20_000),
    instances: z
      .array(
        z.strictObject({
          name,
          url: z.url(),
          statusUrl: z.url().optional(),
          /** Asked by the balancer; an instance that does not answer 200 gets no requests. */
          readyUrl: z.url().optional(),
        }),
      )
      .default([]),
    engines: z.array(target.extend({ pool: name })).default([]),
    services: z.array(target.extend({ pool: name })).default([]),
    platform: z.url().optional(),
    pools: z.array(pool).default([]),
    customers: z.array(customer).min(1),
  })
  .superRefine((file, ctx) => {
    for (const list of ['instances', 'engines', 'services', 'pools', 'customers'] as const) {
      const names = file[list].map((entry) => entry.name);
      const repeated = names.findIndex((entry, i) => names.indexOf(entry) < i);
      if (repeated < 0) continue;
      const message = `the name ${names[repeated]} is used twice`;
      ctx.addIssue({ code: 'custom', path: [list, repeated, 'name'], message });
    }
    const requests = file.customers.reduce((sum, entry) => sum + expectedRequests(entry, file), 0);
    if (requests <= MAX_REQUESTS) return;
    ctx.addIssue({ code: 'custom', message: `more than ${MAX_REQUESTS} requests are expected` });
  });

export type LoadFile = z.output<typeof loadFileSchema>;
export type LoadCustomer = LoadFile['customers'][number];
export type LoadWork = LoadCustomer['mix'][number];
export type CompletionWork = Extract<LoadWork, { kind: 'completion' }>;
export type CallWork = Extract<LoadWork, { kind: 'call' }>;

/** A place in a file that does not fit, with its line if it is known. */
export interface FileIssue {
  readonly line: number | undefined;
  readonly path: string;
  readonly message: string;
}

/** Result of reading a YAML file. */
export type ParsedFile<T> =
  | { readonly kind: 'parsed'; readonly value: T }
  | { readonly kind: 'rejected'; readonly issues: readonly FileIssue[] };

/** Parses and checks a load file. */
export function parseLoadFile(text: string): ParsedFile<LoadFile> {
  return parseYaml(loadFileSchema, text);
}

/** Parses YAML and checks it by a schema; issues carry their lines. */
export function parseYaml<T>(schema: z.ZodType<T>, text: string): ParsedFile<T> {
  const lineCounter = new LineCounter();
  const doc = parseDocument(text, { lineCounter });
  if (doc.errors.length > 0) {
    const issues = doc.errors.map(({ pos, message }) => ({
      line: lineCounter.linePos(pos[0]).line,
      path: '',
      message,
    }));
    return { kind: 'rejected', issues };
  }
  const parsed = schema.safeParse(doc.toJS());
  if (parsed.success) return { kind: 'parsed', value: parsed.data };
  const lineOf = (path: readonly PropertyKey[]): number | undefined => {
    const node = doc.getIn(path, true) as { range?: [number, number, number] } | undefined;
    if (node?.range) return lineCounter.linePos(node.range[0]).line;
    return path.length === 0 ? undefined : lineOf(path.slice(0, -1));
  };
  const issues = parsed.error.issues.map(({ path, message }) => ({
    line: lineOf(path),
    path: path.join('.'),
    message,
  }));
  return { kind: 'rejected', issues };
}

function expectedRequests(
  { ratePerSecond, floods, bursts }: z.output<typeof customer>,
  { durationMs }: { readonly durationMs: number },
): number {
  const steady = (ratePerSecond * durationMs) / 1_000;
  const flooded = floods.reduce(
    (sum, { fromMs, toMs, ratePerSecond: extra }) => sum + (extra * (toMs - fromMs)) / 1_000,
    0,
  );
  return bursts.reduce((sum, { requests }) => sum + requests, steady + flooded);
}
