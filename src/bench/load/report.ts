/** Formats the results of a load as a single HTML page with plots. */
import { MS_PER_SECOND } from '../../core/clock.js';
import { formatPlotPage, type Plot } from '../support/plotPage.js';
import type { LoadResult } from './results.js';
import { formatLoadResult } from './table.js';

/** Formats a result as an HTML page. */
export function formatLoadReport(result: LoadResult): string {
  return formatPlotPage({
    title: `Load report, seed ${result.seed}`,
    text: formatLoadResult(result),
    plots: createPlots(result),
  });
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
    unit: 'units / weight',
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
