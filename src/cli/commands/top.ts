/** The `top` command: a live view of an instance's queues, upstreams, links and versions. */
import { setTimeout as delay } from 'node:timers/promises';
import { command, flag, number, option } from 'cmd-ts';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { createOperatorClient, operatorOptions, reportFailure } from '../operators/client.js';
import { entriesOf, numberAt, objectAt, type StatusObject } from '../operators/statusPage.js';
import { formatColumns, printLine } from '../output.js';

const CLEAR_SCREEN = '\u001b[H\u001b[J';
const MAX_ROWS = 15;
const LINK_CLASSES = ['sameDomain', 'sameRegion', 'crossRegion'] as const;

export const top = command({
  name: 'top',
  description: 'Shows waiting requests, upstreams and control traffic, refreshed periodically.',
  args: {
    ...operatorOptions,
    interval: option({
      type: number,
      long: 'interval',
      defaultValue: () => 1,
      description: 'refresh interval in seconds',
    }),
    once: flag({ long: 'once', description: 'print one view and exit' }),
  },
  handler: async ({ interval, once, ...options }): Promise<ExitCode> => {
    const client = await createOperatorClient(options);
    let previous: StatusObject | undefined;
    for (;;) {
      const reply = await client.status();
      if (reply.kind !== 'done') return reportFailure(options.url, reply);
      if (!once) process.stdout.write(CLEAR_SCREEN);
      printLine(formatView(reply.data, previous, interval));
      if (once) return EXIT_CODES.ok;
      previous = reply.data;
      await delay(interval * 1_000);
    }
  },
});

/** Formats one view. Rates are computed from the difference to the previous status. */
export function formatView(
  status: StatusObject,
  previous: StatusObject | undefined,
  seconds: number,
): string {
  return [
    formatHeader(status),
    formatColumns([['link', 'control bytes', 'bytes/s'], ...linkRows(status, previous, seconds)]),
    formatColumns([['pool', 'customers waiting', 'requests waiting'], ...queueRows(status)]),
    formatColumns([['upstream', 'in use', 'limit', 'running', 'tokens/s'], ...slotRows(status)]),
  ].join('\n\n');
}

function formatHeader(status: StatusObject): string {
  const members = entriesOf(objectAt(status, 'state', 'membership', 'members'));
  const version = numberAt(status, 'state', 'configuration', 'view', 'version');
  const facts = [
    `instance ${String(status.id)} (${String(status.domain)}, ${String(status.region)})`,
    status.ready === true ? 'ready' : 'not ready',
    `${members.length} live instances`,
    `configuration ${version}`,
    `${entriesOf(objectAt(status, 'state', 'requests', 'active')).length} requests here`,
  ];
  return facts.join(' · ');
}

function linkRows(
  status: StatusObject,
  previous: StatusObject | undefined,
  seconds: number,
): readonly (readonly string[])[] {
  return LINK_CLASSES.map((name) => {
    const total = numberAt(status, 'controlBytes', name);
    const before = previous === undefined ? total : numberAt(previous, 'controlBytes', name);
    return [name, String(total), String(Math.round((total - before) / seconds))];
  });
}

function queueRows(status: StatusObject): readonly (readonly string[])[] {
  return entriesOf(objectAt(status, 'state', 'dispatch', 'demand')).map(([pool, customers]) => {
    const byCustomer = entriesOf(customers as StatusObject);
    const waiting = byCustomer.flatMap(([, entries]) =>
      entriesOf(entries as StatusObject).map(([, count]) => numberAt(count, 'count')),
    );
    const total = waiting.reduce((sum, count) => sum + count, 0);
    return [pool, String(byCustomer.length), String(total)];
  });
}

function slotRows(status: StatusObject): readonly (readonly string[])[] {
  const slots = entriesOf(objectAt(status, 'state', 'dispatch', 'slots'));
  const rows = slots.map(([id, entry]) => ({ id, entry, inUse: numberAt(entry, 'inUse') }));
  rows.sort((a, b) => b.inUse - a.inUse);
  return rows
    .slice(0, MAX_ROWS)
    .map(({ id, entry, inUse }) => [
      id,
      String(inUse),
      String(Math.round(numberAt(entry, 'limit'))),
      String(numberAt(entry, 'reportedRunning')),
      numberAt(entry, 'tokenRate').toFixed(0),
    ]);
}
