/**
 * Generates a configuration document of the target size: 9,000 customers, 12,000 upstreams, 8 pools and
 * 14 failure domains.
 */
import { SECTION_NAMES } from '../../configuration/types.js';
import { sha256Hex } from '../../core/sha256.js';

export interface LargeDocumentOptions {
  readonly customers?: number;
  readonly upstreams?: number;
  readonly pools?: number;
  readonly domains?: number;
  readonly teamKeyHash: string;
}

const REGIONS = 4;
const BYTE_VALUES = 256;

/** Returns the source text of the document. */
export function writeLargeDocument(options: LargeDocumentOptions): string {
  const { customers = 9_000, upstreams = 12_000, pools = 8, domains = 14 } = options;
  return [
    'teams:',
    `  all: { keyHashes: [${options.teamKeyHash}], sections: [${SECTION_NAMES.join(', ')}] }`,
    'customers:',
    ...createLines(customers, (i) => `  customer-${i}: { keyHashes: [${sha256Hex(`key-${i}`)}] }`),
    'entitlements:',
    ...createLines(customers, (i) => `  customer-${i}: { pool-${i % pools}: ${1 + (i % 5)} }`),
    'pools:',
    ...createLines(pools, (i) => `  pool-${i}: { kind: model }`),
    'upstreams:',
    ...createLines(upstreams, (i) => formatUpstream(i, pools, domains)),
    'fairness: { scope: pool }',
    'placement:',
    ...createLines(pools, (i) => `  pool-${i}: { model: model-${i}, version: '1' }`),
    '',
  ].join('\n');
}

function formatUpstream(i: number, pools: number, domains: number): string {
  const domain = i % domains;
  return [
    `  engine-${i}:`,
    `    pool: pool-${i % pools}`,
    `    url: http://10.${Math.floor(i / BYTE_VALUES)}.${i % BYTE_VALUES}.1:8000`,
    `    domain: domain-${domain}`,
    `    region: region-${domain % REGIONS}`,
    '    slots: 32',
    '    checksOrders: true',
  ].join('\n');
}

function createLines(length: number, line: (i: number) => string): readonly string[] {
  return Array.from({ length }, (_, i) => line(i));
}
