/**
 * Results of a load as one HTML page with plots. The plotting library is written into the page, so
 * that it needs nothing else to be shown.
 */
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import type { LoadResult } from './results.js';
import { formatLoadResult } from './table.js';

const require = createRequire(import.meta.url);
const MS_PER_SECOND = 1_000;

/** One plot: x values in seconds, then a row of values for each named line. */
interface Plot {
  readonly title: string;
  readonly unit: string;
  readonly lines: readonly string[];
  readonly data: readonly (readonly (number | null)[])[];
}

const DRAW_SCRIPT = `
const strokes = ['#1f77b4', '#d62728', '#2ca02c', '#9467bd', '#ff7f0e', '#8c564b', '#17becf', '#7f7f7f'];
for (const { title, unit, lines, data } of plots) {
  const series = lines.map((label, i) => ({ label, stroke: strokes[i % strokes.length], width: 1.5 }));
  const opts = {
    title,
    width: 900,
    height: 260,
    scales: { x: { time: false } },
    axes: [{ label: 'seconds' }, { label: unit, size: 70 }],
    series: [{ label: 's' }, ...series],
  };
  new uPlot(opts, data, document.getElementById('plots'));
}`;

/** Formats a result as an HTML page. */
export function formatLoadReport(result: LoadResult): string {
  const css = readFileSync(require.resolve('uplot/dist/uPlot.min.css'), 'utf8');
  const js = readFileSync(require.resolve('uplot/dist/uPlot.iife.min.js'), 'utf8');
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Load report, seed ${result.seed}</title>
<style>${css}
body { font-family: sans-serif; margin: 2em; }
pre { overflow-x: auto; }
</style>
</head>
<body>
<h1>Load report</h1>
<pre>${escapeHtml(formatLoadResult(result))}</pre>
<div id="plots"></div>
<script>${js}</script>
<script>
const plots = ${toScriptJson(createPlots(result))};
${DRAW_SCRIPT}
</script>
</body>
</html>
`;
}

function createPlots(result: LoadResult): readonly Plot[] {
  return [servicePlot(result), gapPlot(result), utilisationPlot(result), bytesPlot(result)];
}

function servicePlot({ customers, serviceSamples }: LoadResult): Plot {
  return {
    title: 'Service received by weight',
    unit: 'units',
    lines: customers.map(({ customer, pool }) => `${customer} at ${pool}`),
    data: [
      serviceSamples.map(({ atMs }) => atMs / MS_PER_SECOND),
      ...customers.map(({ weight }, i) =>
        serviceSamples.map(({ service }) => (service[i] ?? 0) / weight),
      ),
    ],
  };
}

function gapPlot({ fairness }: LoadResult): Plot {
  const times = fairness[0]?.samples ?? [];
  return {
    title: 'Fairness gap between waiting customers',
    unit: 'units by weight',
    lines: fairness.map(({ pool }) => pool),
    data: [
      times.map(({ atMs }) => atMs / MS_PER_SECOND),
      ...fairness.map(({ samples }) => samples.map(({ gap }) => gap)),
    ],
  };
}

function utilisationPlot({ utilisation: { samples } }: LoadResult): Plot {
  const pools = [...new Set(samples.flatMap(({ byPool }) => Object.keys(byPool)))];
  return {
    title: 'Utilisation of upstreams',
    unit: 'share of slots',
    lines: pools,
    data: [
      samples.map(({ atMs }) => atMs / MS_PER_SECOND),
      ...pools.map((pool) => samples.map(({ byPool }) => byPool[pool] ?? null)),
    ],
  };
}

function bytesPlot({ controlBytes: { samples } }: LoadResult): Plot {
  return {
    title: 'Control bytes per sample',
    unit: 'bytes',
    lines: ['same domain', 'same region', 'cross-region'],
    data: [
      samples.map(({ atMs }) => atMs / MS_PER_SECOND),
      samples.map(({ sameDomain }) => sameDomain),
      samples.map(({ sameRegion }) => sameRegion),
      samples.map(({ crossRegion }) => crossRegion),
    ],
  };
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

/** JSON that can't end the script element it stands in. */
function toScriptJson(value: unknown): string {
  return JSON.stringify(value).replaceAll('<', '\\u003c');
}
