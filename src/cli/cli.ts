/** Command-line entry point: defines the commands and maps their results to exit codes. */
import { runSafely, subcommands } from 'cmd-ts';
import { audit } from './commands/audit.js';
import { check } from './commands/check.js';
import { config } from './commands/config.js';
import { customer } from './commands/customer.js';
import { demo } from './commands/demo.js';
import { explain } from './commands/explain.js';
import { load } from './commands/load.js';
import { orders } from './commands/orders.js';
import { quarantine } from './commands/quarantine.js';
import { serve } from './commands/serve.js';
import { standin } from './commands/standin.js';
import { status } from './commands/status.js';
import { stop } from './commands/stop.js';
import { top } from './commands/top.js';
import { EXIT_CODES, type ExitCode } from './exitCodes.js';
import { printDiagnostic, printError, printLine } from './output.js';

/** All commands by name. The handler of each resolves to an exit code. */
const COMMANDS = {
  serve,
  check,
  config,
  customer,
  stop,
  orders,
  quarantine,
  audit,
  status,
  top,
  explain,
  demo,
  standin,
  load,
};

const cli = subcommands({
  name: 'primroseswitch',
  description: 'A router fleet that shares upstream capacity fairly among customers.',
  version: '0.1.0',
  cmds: COMMANDS,
});

/** Runs the command line with the arguments that follow the program name. Never rejects. */
export async function runCli(args: readonly string[]): Promise<ExitCode> {
  try {
    const result = await runSafely(cli, [...args]);
    if ('value' in result) return await exitCodeOf(result.value);
    const { exitCode, message, into } = result.error.config;
    (into === 'stderr' ? printError : printLine)(message.trimEnd());
    return exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.usage;
  } catch (err) {
    printDiagnostic('commandFailed', { reason: (err as Error).stack ?? String(err) });
    return EXIT_CODES.failed;
  }
}

/** Unwraps the exit code from the result of a command, which nests the results of subcommands. */
async function exitCodeOf(output: unknown): Promise<ExitCode> {
  const value: unknown = await output;
  const isOuter = typeof value === 'object' && value !== null && 'value' in value;
  return isOuter ? exitCodeOf(value.value) : (value as ExitCode);
}
