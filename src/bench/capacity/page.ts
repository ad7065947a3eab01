/** Renders docs/CAPACITY.md from the measured slopes. The output depends on nothing else. */
import { valueAt } from './fit.js';
import type { KindLoad } from './fleetRun.js';
import { KEYED_SHARE, MEASURED_ELSEWHERE, ROLES, type LoadSource, type Role } from './roles.js';
import type { SlopesFile } from './slopesFile.js';
import { LIMITS, TARGET, TARGET_VALUES } from './target.js';

const SECONDS_PER_DAY = 86_400;
const KIB = 1_024;
const MIB = 1_024 * 1_024;

const ZERO_LOAD: KindLoad = { events: 0, bytes: 0, controlMs: 0 };

export function renderCapacity(slopes: SlopesFile): string {
  return [
    renderHead(slopes),
    renderRoles(slopes),
    renderExactRoles(),
    renderState(slopes),
    renderLimits(slopes),
    renderEvents(),
    renderSlopes(slopes),
    renderPlots(slopes),
  ].join('\n');
}

function renderHead(slopes: SlopesFile): string {
  return `# Capacity

Worked out by \`npm run capacity\` from docs/slopes.json, which \`npm run slopes\` measured at revision
${slopes.revision}; CI checks that this page and the slopes agree. Do not edit it by hand.

The size: ${TARGET.instances} instances, ${TARGET.engines} engines, ${TARGET.regions} regions, ${TARGET.domains} failure domains, ${TARGET.customers} customers of whom
${TARGET.waiting} wait, ${TARGET.pools} models, ${TARGET.requestsPerSecond} requests and ${TARGET.tokensPerSecond / 1e6} million tokens a second, ${TARGET.changesPerDay}
configuration changes a day. An instance has ${TARGET_VALUES.enginesPerInstance} engines and ${TARGET_VALUES.requestsPerInstance} requests a second. Limits for
control, per instance: ${LIMITS.controlMs} ms of processor time a second (1.6% of a core), ${LIMITS.memoryBytes / MIB} MiB, ${LIMITS.bytesPerSecond / KIB} KiB/s.

Bytes and messages are sent **and** received, with framing, so each byte counts at two instances; what an
instance sends is half of it. Processor time is that of one core of the machine of the
measurement, which other work shared: read it as an upper figure.

"By slopes" follows one line per kind of message over what drives it, the rest as in a base of 2
domains of 8 instances, 10 engines and 20 requests a second each, and 100 waiting customers. "In the
slice" is one failure domain of the size to come, run whole: ${Math.ceil(TARGET_VALUES.instancesPerDomain)} instances with ${TARGET_VALUES.enginesPerInstance} engines each, ${TARGET.waiting} waiting
customers and ${Math.round(slopes.slice.requestsPerSecond)} requests a second.
`;
}

function renderRoles(slopes: SlopesFile): string {
  const rows = ROLES.map((role) => {
    const bySlopes = sumLoads(role.loadSources.map((source) => extrapolate(slopes, source)));
    const inSlice = sumLoads(
      role.loadSources.map((source) => slopes.slice.kinds[source.kind] ?? ZERO_LOAD),
    );
    return renderRow([
      role.name,
      role.mechanism,
      bySlopes.events.toFixed(0),
      formatKib(bySlopes.bytes),
      bySlopes.controlMs.toFixed(1),
      formatKib(inSlice.bytes),
      inSlice.controlMs.toFixed(1),
    ]);
  });
  const polls = pollLoad(slopes);
  return renderTable(
    'Approximate state, per instance and second',
    ['role', 'mechanism', 'events', 'KiB/s', 'ms/s', 'KiB/s in the slice', 'ms/s in the slice'],
    [
      ...rows,
      renderRow([
        'owner, readings of load',
        '`GET /load` and `/cache/events` of engines (`core/dispatch/loadPolls.ts`)',
        polls.events.toFixed(0),
        formatKib(polls.bytes),
        '-',
        formatKib(polls.bytes),
        '-',
      ]),
    ],
  );
}

/** Renders the roles whose load depends on keyed requests or edits, from separate measurements. */
function renderExactRoles(): string {
  const measured = MEASURED_ELSEWHERE;
  const keyed = TARGET.requestsPerSecond * KEYED_SHARE;
  const edits = TARGET.changesPerDay / SECONDS_PER_DAY;
  const restarts = TARGET.restartsPerDay / SECONDS_PER_DAY;
  return renderTable(
    'Exact state',
    ['role', 'mechanism', 'amount', 'per instance'],
    [
      renderRow([
        'claim reader (each instance)',
        'log stream `claims` (`core/claims`)',
        `${keyed} keyed requests/s, ${KEYED_SHARE * 100}% of all (assumed)`,
        `${formatKib(keyed * measured.claimRecordBytes)} KiB/s, ${formatMib(keyed * measured.claimMemoryBytes * measured.claimMemorySeconds)} MiB: **over the limits**`,
      ]),
      renderRow([
        'claim writer (2 instances)',
        'group commit (`core/claims/submission.ts`)',
        'at most 200 appends/s for the fleet',
        `${formatKib((keyed * measured.claimRecordBytes) / 2)} KiB/s towards the log`,
      ]),
      renderRow([
        'configuration, each instance',
        'records passed on in the domain (`core/configuration/distribution.ts`)',
        `${edits.toFixed(3)} edits/s`,
        `${(edits * measured.editBytes).toFixed(0)} B/s, ${(edits * measured.editMs).toFixed(2)} ms/s, ${formatMib(measured.heapBytes)} MiB`,
      ]),
      renderRow([
        'checkpoint writer (1 instance)',
        'document in parts (`core/configuration/checkpointing.ts`)',
        `${formatMib(measured.documentBytes)} MiB every ${measured.checkpointSeconds / 60} min`,
        `${formatKib(measured.documentBytes / measured.checkpointSeconds)} KiB/s towards the log`,
      ]),
      renderRow([
        'order giver (owners)',
        'orders by the log (`core/orders`)',
        'one record and one call for each load',
        'by changes only',
      ]),
      renderRow([
        'newcomer',
        'configuration from a peer, claims since the checkpoint',
        `${restarts.toFixed(3)} restarts/s in the fleet`,
        `${formatMib(measured.documentBytes)} MiB once; ${((restarts * measured.documentBytes) / TARGET.instances).toFixed(0)} B/s on the mean instance that serves it`,
      ]),
    ],
  );
}

function renderState(slopes: SlopesFile): string {
  const amounts: Readonly<Record<string, number>> = {
    'customers configured': TARGET.customers,
    'upstreams configured': TARGET.engines,
    'customers with work': TARGET.waiting,
    'waiting requests': 4 * TARGET_VALUES.requestsPerInstance,
  };
  const rows = slopes.state.map(({ per, line }) =>
    renderRow([
      per,
      line.slope.toFixed(0),
      formatPercent(line.residual),
      String(amounts[per] ?? 0),
      formatMib((amounts[per] ?? 0) * line.slope),
    ]),
  );
  return renderTable(
    'State of the core in memory',
    ['of', 'bytes each', 'residual', 'number at an instance', 'MiB'],
    rows,
  );
}

function renderLimits(slopes: SlopesFile): string {
  const { slice } = slopes;
  const bytes = slice.mean.bytes + pollLoad(slopes).bytes;
  const largest = slice.largest.bytes + pollLoad(slopes).bytes;
  const sent = slice.mean.bytes / 2;
  const rows = [
    renderLimitRow(
      'bytes/s, sent and received, with readings of load',
      bytes / KIB,
      LIMITS.bytesPerSecond / KIB,
      'KiB/s',
    ),
    renderLimitRow(
      'the same at the busiest instance',
      largest / KIB,
      LIMITS.bytesPerSecond / KIB,
      'KiB/s',
    ),
    renderLimitRow(
      'bytes/s sent to other instances',
      sent / KIB,
      LIMITS.bytesPerSecond / KIB,
      'KiB/s',
    ),
    renderLimitRow('processor time', slice.mean.controlMs, LIMITS.controlMs, 'ms/s'),
    renderLimitRow(
      'processor time at the busiest instance',
      slice.largest.controlMs,
      LIMITS.controlMs,
      'ms/s',
    ),
    renderLimitRow(
      'memory of the configuration and its view',
      MEASURED_ELSEWHERE.heapBytes / MIB,
      LIMITS.memoryBytes / MIB,
      'MiB',
    ),
  ];
  return `${renderTable('Against the limits, in the slice', ['what', 'figure', 'limit', 'verdict'], rows)}
What would mend the figures over the limit:

- **Bytes**: half of them are announcements of waiting work, at some ${slopes.slice.kinds.waitingUpdate?.events.toFixed(0) ?? '?'} messages a second of
  ${bytesPerWaitingUpdate(slopes)} bytes. One message to an owner for all pools, and counts that are announced with a
  tolerance where an owner has other work of the customer, would halve them again. Readings of load
  shrink if engines push their load, or if one answer holds load and cache events.
- **Processor time**: two thirds are in the announce timer and in the waiting updates, which look for a
  free slot at each change. An index of waiting customers by virtual service in place of a walk is next.
- **Claims**: each instance reads every claim. Dividing the stream by key among the instances of a
  domain (docs/notes/claims.md) makes it a share of 1/${Math.ceil(TARGET_VALUES.instancesPerDomain)}: ${formatKib((TARGET.requestsPerSecond * KEYED_SHARE * MEASURED_ELSEWHERE.claimRecordBytes) / Math.ceil(TARGET_VALUES.instancesPerDomain))} KiB/s. Not built.

What was mended from an earlier figure is in docs/MEASUREMENTS.md, under "Size to come".
`;
}

/** Renders the additional load from rare events, calculated from the target size. */
function renderEvents(): string {
  const perDomain = Math.ceil(TARGET_VALUES.instancesPerDomain);
  const enginesPerDomain = Math.round(TARGET.engines / TARGET.domains);
  const { documentBytes } = MEASURED_ELSEWHERE;
  const restarts = (TARGET.restartsPerDay + TARGET.failuresPerDay) / SECONDS_PER_DAY;
  return renderTable(
    'What rarer events add',
    ['event', 'what happens', 'cost'],
    [
      renderRow([
        'loss of a failure domain',
        `its ${enginesPerDomain} engines pass to the ready instances of the region, or of the fleet`,
        `${(enginesPerDomain / (TARGET.instances / TARGET.regions - perDomain)).toFixed(1)} more engines for each instance of the region`,
      ]),
      renderRow([
        'flood by one customer',
        'its counts are announced up to 64; the rest waits in the queues of the entries',
        'no more messages than any waiting customer; memory up to its limits',
      ]),
      renderRow([
        'restarts and failures',
        `${restarts.toFixed(3)} a second: a newcomer takes the document from a peer`,
        `${formatMib(documentBytes)} MiB each`,
      ]),
    ],
  );
}

function renderSlopes(slopes: SlopesFile): string {
  const rows = ROLES.flatMap((role: Role) =>
    role.loadSources.flatMap((source) => {
      const line = findLine(slopes, source);
      if (line === undefined) return [];
      return [
        renderRow([
          source.kind,
          source.driver,
          line.bytes.slope.toPrecision(3),
          formatPercent(line.bytes.residual),
          line.controlMs.slope.toPrecision(3),
          formatPercent(line.controlMs.residual),
        ]),
      ];
    }),
  );
  return renderTable(
    'The slopes',
    ['kind', 'over', 'B/s for one more', 'residual', 'ms/s for one more', 'residual'],
    rows,
  );
}

/** Renders the measured totals over each dimension as Mermaid charts. */
function renderPlots(slopes: SlopesFile): string {
  const charts = slopes.totals.flatMap(({ dimension, points }) => {
    const at = points.map((point) => point.at);
    return [
      renderChart(
        `${dimension}: bytes/s of an instance`,
        at,
        points.map((point) => point.bytes),
      ),
      renderChart(
        `${dimension}: ms/s of an instance`,
        at,
        points.map((point) => point.controlMs),
      ),
    ];
  });
  return `## Plots\n\n${charts.join('\n')}`;
}

function renderChart(title: string, x: readonly number[], y: readonly number[]): string {
  const top = Math.ceil(1.1 * Math.max(...y));
  return [
    '```mermaid',
    'xychart-beta',
    `  title "${title}"`,
    `  x-axis [${x.join(', ')}]`,
    `  y-axis 0 --> ${top}`,
    `  line [${y.map((value) => value.toPrecision(4)).join(', ')}]`,
    '```',
    '',
  ].join('\n');
}

function findLine(slopes: SlopesFile, source: LoadSource) {
  return slopes.kinds.find(
    ({ kind, dimension }) => kind === source.kind && dimension === source.driver,
  );
}

function extrapolate(slopes: SlopesFile, source: LoadSource): KindLoad {
  const line = findLine(slopes, source);
  const at = TARGET_VALUES[source.driver];
  if (line === undefined) return ZERO_LOAD;
  return {
    events: valueAt(line.events, at),
    bytes: valueAt(line.bytes, at),
    controlMs: valueAt(line.controlMs, at),
  };
}

function pollLoad(slopes: SlopesFile): KindLoad {
  const { polls } = slopes.slice.mean;
  return { events: polls, bytes: polls * slopes.pollBytes, controlMs: 0 };
}

function bytesPerWaitingUpdate(slopes: SlopesFile): string {
  const updates = slopes.slice.kinds.waitingUpdate ?? ZERO_LOAD;
  return updates.events === 0 ? '?' : (updates.bytes / updates.events).toFixed(0);
}

function sumLoads(loads: readonly KindLoad[]): KindLoad {
  return loads.reduce(
    (total, load) => ({
      events: total.events + load.events,
      bytes: total.bytes + load.bytes,
      controlMs: total.controlMs + load.controlMs,
    }),
    ZERO_LOAD,
  );
}

function renderLimitRow(what: string, figure: number, limit: number, unit: string): string {
  const verdict = figure <= limit ? 'within' : `**over, ${(figure / limit).toFixed(1)} times**`;
  return renderRow([what, `${figure.toFixed(1)} ${unit}`, `${limit.toFixed(0)} ${unit}`, verdict]);
}

function renderTable(title: string, head: readonly string[], rows: readonly string[]): string {
  const rule = renderRow(head.map(() => '---'));
  return `## ${title}\n\n${[renderRow(head), rule, ...rows].join('\n')}\n`;
}

function renderRow(cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`;
}

function formatKib(bytes: number): string {
  return (bytes / KIB).toFixed(1);
}

function formatMib(bytes: number): string {
  return (bytes / MIB).toFixed(1);
}

function formatPercent(fraction: number): string {
  return `${(100 * fraction).toFixed(0)}%`;
}
