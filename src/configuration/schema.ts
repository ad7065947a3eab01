/** Schemas of the entries of each section, with the defaults of optional fields. */
import * as z from 'zod';
import { SECTION_NAMES, type SectionName } from './types.js';

const MAX_TEXT_LENGTH = 256;
const MAX_KEYS = 16;
const MAX_SLOTS = 65_536;
const UINT32_MAX = 2 ** 32 - 1;

/** Identifiers of customers, pools, upstreams and teams. */
export const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const id = z.string().regex(ID_PATTERN);
const keyHash = z.string().regex(/^[0-9a-f]{64}$/);
const shortText = z.string().min(1).max(MAX_TEXT_LENGTH);
const price = z.number().min(0).max(1e9);
const fraction = z.number().min(0).max(1);
const count = z.int().min(1).max(UINT32_MAX);
const weight = z.number().min(1e-3).max(1e6);
const url = z
  .string()
  .regex(/^http:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]{2,39}\]):\d{1,5}$/)
  .refine((value) => Number(value.slice(value.lastIndexOf(':') + 1)) <= 65_535);

const keyHashes = z.array(keyHash).min(1).max(MAX_KEYS);

const customerLimits = z.strictObject({
  waitingRequests: count,
  waitingBytes: z.number().min(1).max(1e12),
  concurrency: count,
  rate: z.number().min(1e-3).max(1e9),
});

const cost = z.strictObject({
  perPromptToken: price.default(1),
  perOutputToken: price.default(2),
  perSlotMs: price.default(1),
});

const team = z.strictObject({
  keyHashes,
  sections: z.array(z.enum(SECTION_NAMES)).max(SECTION_NAMES.length),
});

const customer = z.strictObject({
  keyHashes,
  limits: customerLimits.partial().default({}),
});

const pool = z.strictObject({
  kind: z.enum(['model', 'service']),
  cost: cost.default({ perPromptToken: 1, perOutputToken: 2, perSlotMs: 1 }),
  crossRegion: z.boolean().default(true),
  crossRegionPriceMs: z.number().min(0).max(3_600_000).default(500),
  suspendShare: fraction.default(0.25),
  idempotentByDefault: z.boolean().optional(),
});

const upstream = z.strictObject({
  pool: id,
  url,
  domain: id,
  region: id,
  slots: z.int().min(1).max(MAX_SLOTS).default(16),
  checksOrders: z.boolean().default(false),
  reportsLoad: z.boolean().default(true),
});

const route = z.strictObject({
  pathPrefix: z
    .string()
    .regex(/^\/[\x21-\x7e]*$/)
    .max(MAX_TEXT_LENGTH),
  methods: z
    .array(z.string().regex(/^[A-Z]{3,10}$/))
    .max(16)
    .default([]),
  idempotent: z.boolean(),
});

const plannedStop = z.strictObject({ reason: shortText });

const placement = z.strictObject({
  model: shortText,
  version: z.union([shortText, z.number().transform(String)]),
  adapters: z.array(shortText).max(256).default([]),
  role: z.string().max(MAX_TEXT_LENGTH).default(''),
  minUpstreams: z.int().min(0).max(65_536).default(1),
  maxUpstreams: z.int().min(1).max(65_536).default(65_536),
  servingShare: fraction.default(0.75),
});

/** Entry schemas of the sections whose keys are chosen by the operator. */
const entrySchemas: Readonly<Partial<Record<SectionName, z.ZodType>>> = {
  teams: team,
  customers: customer,
  entitlements: z.record(id, weight),
  pools: pool.transform((entry) => ({
    ...entry,
    idempotentByDefault: entry.idempotentByDefault ?? entry.kind === 'model',
  })),
  upstreams: upstream,
  routes: z.array(route).max(1_024),
  plannedStops: plannedStop,
  placement,
};

/** Field schemas of the sections whose keys are fixed. */
const fieldSchemas: Readonly<Partial<Record<SectionName, Readonly<Record<string, z.ZodType>>>>> = {
  fairness: {
    scope: z.enum(['pool', 'fleet']),
    debtCap: z.number().min(0).max(1e12),
    chargeStep: z.number().min(1).max(1e9),
  },
  limits: {
    ...customerLimits.shape,
    /** Maximum number of concurrent model loads in the fleet. */
    concurrentLoads: z.int().min(1).max(65_536),
  },
};

/** Defaults of the sections with fixed keys. */
export const FIELD_DEFAULTS = {
  scope: 'pool',
  debtCap: 1e6,
  chargeStep: 256,
  waitingRequests: 10_000,
  waitingBytes: 256 * 2 ** 20,
  concurrency: 10_000,
  rate: 10_000,
  concurrentLoads: 4,
} as const;

/** Returns the fixed keys of a section, or `undefined` if the operator chooses its keys. */
export function fixedKeysOf(section: SectionName): readonly string[] | undefined {
  const fields = fieldSchemas[section];
  return fields === undefined ? undefined : Object.keys(fields);
}

/** Returns the schema of an entry, or `undefined` if the section does not allow the key. */
export function schemaOf(section: SectionName, key: string): z.ZodType | undefined {
  const fields = fieldSchemas[section];
  if (fields === undefined) return entrySchemas[section];
  return Object.hasOwn(fields, key) ? fields[key] : undefined;
}

/** Returns all field names at any depth of a section's schema, for spelling suggestions. */
export function fieldNamesOf(section: SectionName): readonly string[] {
  const names = new Set<string>(fixedKeysOf(section) ?? []);
  const objects: Partial<Record<SectionName, readonly z.ZodObject[]>> = {
    teams: [team],
    customers: [customer, customerLimits],
    pools: [pool, cost],
    upstreams: [upstream],
    routes: [route],
    plannedStops: [plannedStop],
    placement: [placement],
  };
  for (const object of objects[section] ?? []) {
    Object.keys(object.shape).forEach((name) => names.add(name));
  }
  return [...names];
}
