/**
 * The `demo` command: starts a fleet with stand-ins in one process, runs a load from four customers
 * and prints the results.
 */
import { command, flag, number, option } from 'cmd-ts';
import { formatLoadResult, hasOnlyValidOutcomes, runLoad } from '../../bench/load/index.js';
import { MS_PER_SECOND } from '../../core/clock.js';
import { DEMO_CUSTOMERS, MODEL_POOL } from '../demo/demoDocument.js';
import { startDemoFleet, type DemoFleet } from '../demo/demoFleet.js';
import { createDemoLoad } from '../demo/demoLoad.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { formatColumns, printLine } from '../output.js';
import { waitForStopSignal } from '../stopSignals.js';

const DEFAULT_LOAD_SECONDS = 4;

const options = {
  once: flag({
    long: 'once',
    description: 'exit after the load instead of keeping the fleet running',
  }),
  seconds: option({
    type: number,
    long: 'seconds',
    defaultValue: () => DEFAULT_LOAD_SECONDS,
    description: 'duration of the load',
  }),
  port: option({
    type: number,
    long: 'port',
    short: 'p',
    defaultValue: () => 0,
    description: "callers' port of the first instance; 0 selects a free port",
  }),
};

export const demo = command({
  name: 'demo',
  description: 'Starts a fleet with stand-ins, runs a load and shows shares and utilization.',
  args: options,
  handler: async ({ once, seconds, port }): Promise<ExitCode> => {
    const fleet = await startDemoFleet({ port, log: { threshold: 'warn' } });
    printFleet(fleet);
    const run = await runLoad({ file: createDemoLoad(fleet, seconds * MS_PER_SECOND) });
    if (run.kind === 'rejected') return EXIT_CODES.failed;
    printLine(formatLoadResult(run.result));
    if (!once) {
      printUsageHints(fleet);
      await waitForStopSignal();
    }
    await fleet.stop();
    return hasOnlyValidOutcomes(run.result) ? EXIT_CODES.ok : EXIT_CODES.failed;
  },
});

function printFleet({ instances, upstreams }: DemoFleet): void {
  const head = ['instance', 'domain', 'callers', 'operators', 'upstreams of its domain'];
  const rows = instances.map(({ id, domain, addresses }) => {
    const localUpstreams = upstreams.filter((upstream) => upstream.domain === domain);
    return [
      id,
      domain,
      addresses.callers,
      addresses.operators,
      localUpstreams.map((u) => u.id).join(' '),
    ];
  });
  printLine(formatColumns([head, ...rows]));
  printLine();
  printLine(
    `${instances.length} instances and ${upstreams.length} upstreams are running. Sending load.`,
  );
  printLine();
}

function printUsageHints({ instances }: DemoFleet): void {
  const [first] = instances;
  const [customer] = DEMO_CUSTOMERS;
  if (first === undefined || customer === undefined) return;
  const body = JSON.stringify({
    model: MODEL_POOL,
    stream: true,
    max_tokens: 20,
    messages: [{ role: 'user', content: 'Which nets fit a cherry orchard?' }],
  });
  printLine();
  printLine('The fleet runs until interrupted with Ctrl-C. Try:');
  printLine();
  printLine(
    `  curl -N http://${first.addresses.callers}/v1/chat/completions -H 'Authorization: Bearer ${customer.key}' -d '${body}'`,
  );
  printLine(`  curl -s http://${first.addresses.operators}/status`);
  printLine();
}
