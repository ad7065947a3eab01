/** Formats the results of a load as text tables. */
import type { Quantiles } from './customerMetrics.js';
import { hasOnlyValidOutcomes, totalCounts, type LoadResult } from './results.js';

const PERCENT = 100;

/** Formats a result as plain text for a terminal. */
export function formatLoadResult(result: LoadResult): string {
  return [
    formatCustomers(result),
    formatPools(result),
    formatTotals(result),
    formatTruth(result),
  ].join('\n\n');
}

/** Formats rows as aligned columns. The first column is left-aligned, all others right-aligned. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  const pad = (cell: string, column: number) =>
    column === 0 ? cell.padEnd(widths[0] ?? 0) : cell.padStart(widths[column] ?? 0);
  return lines.map((line) => line.map(pad).join('  ').trimEnd()).join('\n');
}

const formatPercent = (share: number) => `${(share * PERCENT).toFixed(1)}%`;

const formatQuantiles = ({ count, p50, p95, p99 }: Quantiles) =>
  count === 0 ? '-' : [p50, p95, p99].map((value) => value.toFixed(1)).join('/');

function formatCustomers({ customers }: LoadResult): string {
  const header = [
    'customer',
    'pool',
    'sent',
    'served',
    'refused',
    'failed',
    'lost',
    'wrong',
    'service',
    'share',
    'first token ms p50/p95/p99',
    'between tokens ms p50/p95/p99',
  ];
  const rows = customers.map((entry) => [
    entry.customer,
    entry.pool,
    String(entry.counts.sent),
    String(entry.counts.served),
    String(entry.counts.refused),
    String(entry.counts.failed),
    String(entry.counts.lost),
    String(entry.counts.notOwn + entry.counts.truncated),
    entry.service.toFixed(0),
    formatPercent(entry.serviceShare),
    formatQuantiles(entry.firstTokenMs),
    formatQuantiles(entry.betweenTokensMs),
  ]);
  return formatTable(header, rows);
}

function formatPools({ fairness, utilisation }: LoadResult): string {
  const rows = fairness.map(({ pool, maxGap }) => {
    const upstreams = utilisation.upstreams.filter((upstream) => upstream.pool === pool);
    const mean = upstreams.reduce((sum, entry) => sum + entry.utilisation, 0) / upstreams.length;
    return [pool, maxGap.toFixed(1), upstreams.length === 0 ? '-' : formatPercent(mean)];
  });
  return formatTable(['pool', 'greatest gap', 'utilisation'], rows);
}

function formatTotals(result: LoadResult): string {
  const total = totalCounts(result);
  const { sameDomain, sameRegion, crossRegion } = result.controlBytes.total;
  const reasons = Object.entries(total.reasons).map(([reason, count]) => `  ${count} ${reason}`);
  return [
    `${total.sent} sent in ${(result.elapsedMs / 1_000).toFixed(1)} s, ${total.served} served, ` +
      `${total.refused} refused, ${total.failed} failed, ${total.lost} lost, ${total.notSent} not sent, ` +
      `${result.unfinished} unfinished`,
    ...reasons,
    `control bytes: ${sameDomain} same domain, ${sameRegion} same region, ` +
      `${crossRegion} cross-region`,
    ...result.faults.map(
      ({ atMs, target, what, error }) =>
        `fault at ${atMs} ms: ${what} on ${target}${error === undefined ? '' : ` (${error})`}`,
    ),
  ].join('\n');
}

function formatTruth(result: LoadResult): string {
  const { notOwn, truncated } = totalCounts(result);
  const { falseRefusals, doubled, servedNotRun, unread } = result.truth;
  const partial = unread.length === 0 ? '' : ` (not read: ${unread.join(', ')})`;
  return [
    `answers of other requests: ${notOwn}, cut answers: ${truncated}, ` +
      `false refusals: ${falseRefusals.length}, run twice: ${doubled.length}, ` +
      `served but not run: ${servedNotRun.length}${partial}`,
    hasOnlyValidOutcomes(result)
      ? 'every request had a valid outcome'
      : 'NOT EVERY REQUEST HAD A VALID OUTCOME',
  ].join('\n');
}
