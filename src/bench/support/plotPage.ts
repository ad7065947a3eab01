/** Generates HTML pages with plots. The plotting library is inlined, so a page is self-contained. */
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';

const require = createRequire(import.meta.url);

/** One plot. `data` holds the x values in seconds, followed by the values of each line. */
export interface Plot {
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

export interface PlotPage {
  readonly title: string;
  /** Preformatted text shown above the plots. */
  readonly text: string;
  readonly plots: readonly Plot[];
}

/** Formats an HTML page. */
export function formatPlotPage({ title, text, plots }: PlotPage): string {
  const css = readFileSync(require.resolve('uplot/dist/uPlot.min.css'), 'utf8');
  const js = readFileSync(require.resolve('uplot/dist/uPlot.iife.min.js'), 'utf8');
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${escapeHtml(title)}</title>
<style>${css}
body { font-family: sans-serif; margin: 2em; }
pre { overflow-x: auto; }
</style>
</head>
<body>
<h1>${escapeHtml(title)}</h1>
<pre>${escapeHtml(text)}</pre>
<div id="plots"></div>
<script>${js}</script>
<script>
const plots = ${toScriptJson(plots)};
${DRAW_SCRIPT}
</script>
</body>
</html>
`;
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

/** Serializes a value to JSON that cannot close the enclosing script element. */
function toScriptJson(value: unknown): string {
  return JSON.stringify(value).replaceAll('<', '\\u003c');
}
