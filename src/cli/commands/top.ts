/** `top`: a live view of what an instance sees: waiting work, upstreams, links, versions. */
import { setTimeout as delay } from 'node:timers/promises';
import { command, flag, number, option } from 'cmd-ts';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { createOperatorClient, operatorOptions, reportFailure } from '../operators/client.js';
import { entriesOf, numberAt, partOf, type StatusValue } from '../operators/statusPage.js';
import { formatColumns, printLine } from '../output.js';

const CLEAR_SCREEN = '\u001b[H\u001b[J';
const ROWS_MAX = 15;
const LINK_CLASSES = ['sameDomain', 'sameRegion', 'crossRegion'] as const;

export const top = command({
  name: 'top',
  description: 'Shows waiting work, upstreams and control traffic, again and again.',
  args: {
    ...operatorOptions,
    interval: option({
      type: number,
      long: 'interval',
      defaultValue: () => 1,
      description: 'seconds between two views',
    }),
    once: flag({ long: 'once', description: 'print one view and exit' }),
  },
  handler: async ({ interval, once, ...options }): Promise<ExitCode> => {
    const client = await createOperatorClient(options);
    let earlier: StatusValue | undefined;
    for (;;) {
      const reply = await client.status();
      if (reply.kind !== 'done') return reportFailure(options.url, reply);
      if (!once) process.stdout.write(CLEAR_SCREEN);
      printLine(formatView(reply.data, earlier, interval));
      if (once) return EXIT_CODES.ok;
      earlier = reply.data;
      await delay(interval * 1_000);
    }
  },
});

/** Formats one view; rates are taken between it and the earlier one. */
export function formatView(
  status: StatusValue,
  earlier: StatusValue | undefined,
  seconds: number,
): string {
  return [
    headOf(status),
    formatColumns([['link', 'control bytes', 'bytes/s'], ...linkRows(status, earlier, seconds)]),
    formatColumns([['pool', 'customers waiting', 'requests waiting'], ...waitingRows(status)]),
    formatColumns([['upstream', 'in use', 'limit', 'running', 'tokens/s'], ...slotRows(status)]),
  ].join('\n\n');
}

function headOf(status: StatusValue): string {
  const members = entriesOf(partOf(status, 'state', 'membership', 'members'));
  const version = numberAt(status, 'state', 'configuration', 'view', 'version');
  const facts = [
    `instance ${String(status.id)} (${String(status.domain)}, ${String(status.region)})`,
    status.ready === true ? 'ready' : 'not ready',
    `${members.length} live instances`,
    `configuration ${version}`,
    `${entriesOf(partOf(status, 'state', 'requests', 'active')).length} requests here`,
  ];
  return facts.join(' · ');
}

function linkRows(
  status: StatusValue,
  earlier: StatusValue | undefined,
  seconds: number,
): readonly (readonly string[])[] {
  return LINK_CLASSES.map((name) => {
    const total = numberAt(status, 'controlBytes', name);
    const before = earlier === undefined ? total : numberAt(earlier, 'controlBytes', name);
    return [name, String(total), String(Math.round((total - before) / seconds))];
  });
}

function waitingRows(status: StatusValue): readonly (readonly string[])[] {
  return entriesOf(partOf(status, 'state', 'dispatch', 'demand')).map(([pool, customers]) => {
    const byCustomer = entriesOf(customers as StatusValue);
    const waiting = byCustomer.flatMap(([, entries]) =>
      entriesOf(entries as StatusValue).map(([, count]) => numberAt(count, 'count')),
    );
    const total = waiting.reduce((sum, count) => sum + count, 0);
    return [pool, String(byCustomer.length), String(total)];
  });
}

function slotRows(status: StatusValue): readonly (readonly string[])[] {
  const slots = entriesOf(partOf(status, 'state', 'dispatch', 'slots'));
  const rows = slots.map(([id, entry]) => ({ id, entry, inUse: numberAt(entry, 'inUse') }));
  rows.sort((a, b) => b.inUse - a.inUse);
  return rows
    .slice(0, ROWS_MAX)
    .map(({ id, entry, inUse }) => [
      id,
      String(inUse),
      String(Math.round(numberAt(entry, 'limit'))),
      String(numberAt(entry, 'reportedRunning')),
      numberAt(entry, 'tokenRate').toFixed(0),
    ]);
}
