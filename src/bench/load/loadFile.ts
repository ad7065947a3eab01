/**
 * Schema and parser of the load file, a YAML file with the customers and their request mixes,
 * floods and bursts, the instances to call, and the stand-ins whose utilisation and logs are read.
 * The file is validated before any request is sent.
 */
import { LineCounter, parseDocument } from 'yaml';
import * as z from 'zod';

/** Maximum number of expected requests of a load. */
const MAX_REQUESTS = 2_000_000;

const name = z.string().min(1);
const count = z.number().int().min(0);
const positiveCount = z.number().int().min(1);
const span = z.number().min(0);
const rate = z.number().min(0);

/** An integer that is drawn uniformly from an inclusive range. */
const range = z.tuple([positiveCount, positiveCount]).refine(([low, high]) => low <= high, {
  message: 'the lower bound of the range is greater than the upper bound',
});

/** A completion request to a model pool. */
const completion = z.strictObject({
  kind: z.literal('completion'),
  pool: name,
  share: z.number().positive().default(1),
  promptWords: range.default([10, 40]),
  /** Length of the prefix that all prompts of the customer share, to exercise prefix caches. */
  sharedWords: count.default(0),
  maxTokens: range.default([8, 64]),
  stream: z.boolean().default(true),
  /**
   * The cost hint is the cost times a factor drawn from [1/n, n]. Without this key, no hint is
   * sent.
   */
  hintError: z.number().min(1).optional(),
  deadlineMs: z.number().positive().optional(),
});

/** A call to a service pool. */
const call = z.strictObject({
  kind: z.literal('call'),
  pool: name,
  share: z.number().positive().default(1),
  method: z.enum(['POST', 'PUT', 'GET']).default('POST'),
  path: z.string().startsWith('/').default('/'),
  bodyBytes: range.default([32, 256]),
  /** Whether the call is safe to repeat. If not, it is sent with an `Idempotency-Key`. */
  idempotent: z.boolean().default(true),
  /** Fraction of the calls with an `Idempotency-Key` that the caller repeats with the same key. */
  repeatShare: z.number().min(0).max(1).default(0),
  /** Maximum delay of a repeat. */
  repeatWithinMs: span.default(500),
  deadlineMs: z.number().positive().optional(),
});

const work = z.discriminatedUnion('kind', [completion, call]);
const flood = z.strictObject({ fromMs: span, toMs: span, ratePerSecond: rate });
const burst = z.strictObject({ atMs: span, requests: positiveCount });

const customer = z.strictObject({
  name,
  /** API key, sent as a bearer token. */
  key: z.string().min(1),
  /** Entitlement weight, by which the service is divided in the report and in the fairness gap. */
  weight: z.number().positive().default(1),
  ratePerSecond: rate.default(0),
  mix: z.array(work).min(1),
  floods: z.array(flood).default([]),
  bursts: z.array(burst).default([]),
});

const pool = z.strictObject({
  name,
  /**
   * Cost in service units. The report agrees with the instances only if they use the same costs.
   */
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
    /** Time limit for in-flight requests to end after the last arrival. */
    drainMs: span.default(30_000),
    /**
     * A request counts as waiting if it received no byte of an answer for this time after it was
     * sent.
     */
    waitingAfterMs: span.default(250),
    /** Sampling interval of fairness gap, utilisation and control bytes. */
    sampleMs: z.number().min(10).default(500),
    /** Maximum number of in-flight requests. Further arrivals are counted as not sent. */
    maxInFlight: positiveCount.default(20_000),
    instances: z
      .array(
        z.strictObject({
          name,
          url: z.url(),
          statusUrl: z.url().optional(),
          /**
           * Readiness check of the balancer. An instance that does not return 200 gets no requests.
           */
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
      const message = `duplicate name "${names[repeated]}"`;
      ctx.addIssue({ code: 'custom', path: [list, repeated, 'name'], message });
    }
    const requests = file.customers.reduce((sum, entry) => sum + expectedRequests(entry, file), 0);
    if (requests <= MAX_REQUESTS) return;
    ctx.addIssue({
      code: 'custom',
      message: `expected number of requests exceeds ${MAX_REQUESTS}`,
    });
  });

export type LoadFile = z.output<typeof loadFileSchema>;
export type LoadCustomer = LoadFile['customers'][number];
export type LoadWork = LoadCustomer['mix'][number];
export type CompletionWork = Extract<LoadWork, { kind: 'completion' }>;
export type CallWork = Extract<LoadWork, { kind: 'call' }>;

/** A validation error in a file, with its line if known. */
export interface FileIssue {
  readonly line: number | undefined;
  readonly path: string;
  readonly message: string;
}

/** Result of parsing a YAML file. */
export type ParsedFile<T> =
  | { readonly kind: 'parsed'; readonly value: T }
  | { readonly kind: 'rejected'; readonly issues: readonly FileIssue[] };

/** Parses and validates a load file. */
export function parseLoadFile(text: string): ParsedFile<LoadFile> {
  return parseYaml(loadFileSchema, text);
}

/** Parses YAML and validates it against a schema. Issues include line numbers. */
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
