/** Schema of an instance's settings. Omitted settings take the default of their component. */
import * as z from 'zod';
import { DEFAULT_CORE_SETTINGS, type CoreSettings } from '../core/settings.js';
import { DEFAULT_ROUTING_SETTINGS, type RoutingSettings } from '../routing/settings.js';
import { formatDuration, formatSize, parseDuration, parseSize } from './units.js';

export const DEFAULT_OPERATORS_PORT = 9_081;

const MAX_PORT = 65_535;
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
const IP_PORT_PATTERN = /^((?:\d{1,3}\.){3}\d{1,3}|\[[0-9a-fA-F:]{2,39}\]):(\d{1,5})$/;

const name = z
  .string()
  .regex(NAME_PATTERN, 'up to 63 letters, digits, dots, underscores and hyphens are expected');

const duration = z
  .string("a duration such as '250ms' or '4s' is expected")
  .transform((text, ctx) => {
    const millis = parseDuration(text);
    if (millis !== undefined) return millis;
    ctx.addIssue("a duration such as '250ms', '4s', '5m' or '1h' is expected");
    return z.NEVER;
  });

const size = z.string("a size such as '64KiB' is expected").transform((text, ctx) => {
  const bytes = parseSize(text);
  if (bytes !== undefined) return bytes;
  ctx.addIssue("a size such as '100B', '64KiB' or '4MiB' is expected");
  return z.NEVER;
});

/** IP address and port; host names are not resolved. */
const address = z
  .string("an address such as '10.0.0.1:8080' is expected")
  .refine(isAddress, "an IP address and a port such as '10.0.0.1:8080' are expected");

const baseUrl = z
  .string("an address such as 'http://10.0.0.1:8080' is expected")
  .refine(
    (text) => text.startsWith('http://') && isAddress(text.slice('http://'.length)),
    "an address such as 'http://10.0.0.1:8080' is expected",
  );

function isAddress(text: string): boolean {
  const match = IP_PORT_PATTERN.exec(text);
  return match !== null && Number(match[2]) <= MAX_PORT;
}

const file = z.string().min(1);
const count = z.number().min(0);
const path = z.string().startsWith('/');
const keyHash = z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 hash in hexadecimal is expected');

/**
 * Derives the name and the schema of a setting from the name of its field: `heartbeatMs` is written
 * as `heartbeat: 1s`, `answerMemoryBytes` as `answerMemory: 8MiB`.
 */
function settingFieldOf(key: string): { readonly key: string; readonly type: z.ZodType } {
  if (key.endsWith('Ms')) return { key: key.slice(0, -'Ms'.length), type: duration };
  if (key.endsWith('Bytes')) return { key: key.slice(0, -'Bytes'.length), type: size };
  if (key.endsWith('Hashes')) return { key, type: z.array(keyHash) };
  return { key, type: count };
}

type FieldDefaults = Readonly<Record<string, number | readonly string[]>>;

interface SettingField {
  /** Member of the parsed settings. */
  readonly target: string;
  /** Key in the settings file and schema of its value. */
  readonly field: { readonly key: string; readonly type: z.ZodType };
}

/** Derives the fields of a group of settings from the object with its defaults. */
function settingFieldsOf(defaults: object): readonly SettingField[] {
  return Object.keys(defaults).map((key) => ({ target: key, field: settingFieldOf(key) }));
}

/** Creates the schema of a group of settings in which every derived field is optional. */
function groupSchema<T extends object>(
  fields: readonly SettingField[],
  extraFields: z.ZodRawShape = {},
) {
  const named = fields.map(({ field }) => [field.key, field.type.optional()] as const);
  return z.strictObject({ ...Object.fromEntries(named), ...extraFields }).transform((values) => {
    const parsed = values as Readonly<Record<string, unknown>>;
    const entries = fields
      .map(({ target, field }) => [target, parsed[field.key]] as const)
      .filter(([, value]) => value !== undefined);
    return Object.fromEntries(entries) as Partial<T>;
  });
}

function formatDefaults(
  fields: readonly SettingField[],
  defaults: FieldDefaults,
): ReadonlyMap<string, string> {
  return new Map(
    fields.map(({ target, field }) => {
      const value = defaults[target];
      if (typeof value !== 'number') return [field.key, formatList(value ?? [])];
      if (target.endsWith('Ms')) return [field.key, formatDuration(value)];
      return [field.key, target.endsWith('Bytes') ? formatSize(value) : String(value)];
    }),
  );
}

function formatList(values: readonly string[]): string {
  return values.length === 0 ? 'none' : values.join(', ');
}

const coreFields = settingFieldsOf(DEFAULT_CORE_SETTINGS);
const core = groupSchema<CoreSettings>(coreFields);
const routingFields = settingFieldsOf(DEFAULT_ROUTING_SETTINGS);

/** Returns the default of each core setting by name, in the notation of the settings file. */
export function coreSettingDefaults(): ReadonlyMap<string, string> {
  return formatDefaults(coreFields, { ...DEFAULT_CORE_SETTINGS });
}

/** Returns the default of each routing setting by name, in the notation of the settings file. */
export function routingSettingDefaults(): ReadonlyMap<string, string> {
  return formatDefaults(routingFields, { ...DEFAULT_ROUTING_SETTINGS });
}

export const settingsSchema = z.strictObject({
  instance: z.strictObject({ id: name, domain: name, region: name }),
  listen: z.strictObject({
    callers: address,
    peers: address,
    operators: address.default(`127.0.0.1:${DEFAULT_OPERATORS_PORT}`),
  }),
  /** Address at which other instances reach the peer port. */
  advertise: address.optional(),
  platform: z.strictObject({ url: baseUrl }).optional(),
  /** Configuration document used until the log provides a newer one. */
  document: file.optional(),
  tls: z
    .strictObject({
      callers: z.strictObject({ certificate: file, key: file }).optional(),
      peers: z.strictObject({ certificate: file, key: file, authorities: file }).optional(),
      checkInterval: duration.default(10_000),
    })
    .optional(),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
      form: z.enum(['text', 'json']).default('text'),
    })
    .prefault({}),
  metrics: z.strictObject({ address }).optional(),
  limits: z
    .strictObject({
      body: size.optional(),
      headers: size.optional(),
      headersTimeout: duration.optional(),
      requestTimeout: duration.optional(),
      connections: z.int().min(1).optional(),
    })
    .prefault({}),
  core: core.prefault({}),
  /** Enables forwarding of requests on the platform's routes. */
  routing: z
    .strictObject({
      /** Address and path of the readiness probe of the load balancer. */
      readiness: address,
      readinessPath: path,
      /** Path of the metrics endpoint on the operators' address. */
      metricsPath: path.default('/metrics'),
      /** Region of each failure domain. */
      regions: z.record(name, name),
      tuning: groupSchema<RoutingSettings>(routingFields).prefault({}),
    })
    .optional(),
});

export type Settings = z.output<typeof settingsSchema>;
