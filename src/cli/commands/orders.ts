/** The `orders` command: lists the engine orders of an instance and those outstanding in the fleet. */
import { command } from 'cmd-ts';
import type { EngineOrder } from '../../core/types.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { createOperatorClient, operatorOptions, reportFailure } from '../operators/client.js';
import { formatColumns, printLine } from '../output.js';

interface OrdersData {
  readonly own: readonly {
    readonly upstream: string;
    readonly order: EngineOrder;
    readonly number: number;
    readonly phase: string;
    readonly attempts: number;
    readonly ageMs: number;
  }[];
  readonly outstanding: readonly {
    readonly upstream: string;
    readonly order: EngineOrder;
    readonly number: number;
    readonly by: string;
  }[];
}

export const orders = command({
  name: 'orders',
  description: 'Lists the engine orders in progress.',
  args: operatorOptions,
  handler: async (options): Promise<ExitCode> => {
    const client = await createOperatorClient(options);
    const reply = await client.run<OrdersData>({ kind: 'listOrders' });
    if (reply.kind !== 'done') return reportFailure(options.url, reply);
    const { own, outstanding } = reply.data;
    const ownRows = own.map((entry) => [
      entry.upstream,
      String(entry.number),
      describeOrder(entry.order),
      `${entry.phase}, attempt ${entry.attempts}, ${Math.round(entry.ageMs / 1_000)} s`,
    ]);
    const ownNumbers = new Set(own.map(({ number }) => number));
    const otherRows = outstanding
      .filter(({ number }) => !ownNumbers.has(number))
      .map((entry) => [entry.upstream, String(entry.number), describeOrder(entry.order), entry.by]);
    printLine(formatColumns([['upstream', 'number', 'order', 'state'], ...ownRows, ...otherRows]));
    return EXIT_CODES.ok;
  },
});

function describeOrder(order: EngineOrder): string {
  switch (order.kind) {
    case 'load-model':
      return `load ${order.model} ${order.version}`;
    case 'load-adapter':
      return `load adapter ${order.adapter}`;
    default:
      return `role ${order.role}`;
  }
}
