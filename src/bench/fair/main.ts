/**
 * `npm run bench:fair`: measures the sharing policy and its control overhead on the fake network and
 * prints tables. Options: `--json FILE`, `--only policies|slopes`.
 */
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { DEFAULT_CORE_SETTINGS } from '../../core/settings.js';
import { readRevision } from '../support/revision.js';
import { measurePolicy, POLICIES, SHAPES, type PolicyResult } from './policies.js';
import { measureSlope, SLOPE_SIZES, type SlopeResult } from './slopes.js';

const { values } = parseArgs({ options: { json: { type: 'string' }, only: { type: 'string' } } });

const revision = readRevision();
console.log(`revision ${revision}`);
const policies = values.only === 'slopes' ? [] : runPolicies();
const slopes = values.only === 'policies' ? [] : runSlopes();
if (values.json !== undefined) {
  writeFileSync(values.json, `${JSON.stringify({ revision, policies, slopes }, null, 2)}\n`);
}

function runPolicies(): readonly PolicyResult[] {
  printRow([
    'shape',
    'policy',
    'gap/B',
    'utilisation',
    'short p95 ms',
    'without flood ms',
    'B/request',
    'B/s domain',
    'B/s region',
    'B/s cross',
  ]);
  return SHAPES.flatMap((shape) =>
    POLICIES.map((policy) => {
      const result = measurePolicy(shape, policy);
      printRow([
        result.shape,
        result.policy,
        result.gapToBound.toFixed(3),
        result.utilisation.toFixed(3),
        result.quickP95Ms.toFixed(0),
        result.quickP95IdleMs.toFixed(0),
        result.bytesPerRequest.toFixed(0),
        result.bytesPerSecond.sameDomain.toFixed(0),
        result.bytesPerSecond.sameRegion.toFixed(0),
        result.bytesPerSecond.crossRegion.toFixed(0),
      ]);
      return result;
    }),
  );
}

function runSlopes(): readonly SlopeResult[] {
  printRow([
    'customers',
    'instances',
    'engines',
    'exchange ms',
    'B/s',
    'B/s cross',
    'ms/s',
    'largest kinds',
  ]);
  return SLOPE_SIZES.map((size) => {
    const result = measureSlope(size);
    printRow([
      String(result.customers),
      String(result.instances),
      String(result.engines),
      String(result.exchangeMs ?? DEFAULT_CORE_SETTINGS.exchangeMs),
      result.bytes.toFixed(0),
      result.crossRegionBytes.toFixed(0),
      result.controlMs.toFixed(2),
      result.largestKinds,
    ]);
    return result;
  });
}

function printRow(cells: readonly string[]): void {
  console.log(`| ${cells.join(' | ')} |`);
}
