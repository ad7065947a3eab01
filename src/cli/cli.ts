/** The command line: the table of commands and the mapping of their ends to exit codes. */
import { runSafely, subcommands } from 'cmd-ts';
import { check } from './commands/check.js';
import { demo } from './commands/demo.js';
import { load } from './commands/load.js';
import { serve } from './commands/serve.js';
import { standin } from './commands/standin.js';
import { status } from './commands/status.js';
import { EXIT_CODES, type ExitCode } from './exitCodes.js';
import { printDiagnostic, printError, printLine } from './output.js';

/** All commands by name. Each resolves to its exit code. */
const COMMANDS = { serve, check, demo, status, standin, load };

const cli = subcommands({
  name: 'primroseswitch',
  description: 'A router fleet that shares upstream capacity fairly among customers.',
  version: '0.1.0',
  cmds: COMMANDS,
});

/** Runs the command line with the arguments after the program's name. Never rejects. */
export async function runCli(args: readonly string[]): Promise<ExitCode> {
  try {
    const result = await runSafely(cli, [...args]);
    if ('value' in result) return await result.value.value;
    const { exitCode, message, into } = result.error.config;
    (into === 'stderr' ? printError : printLine)(message.trimEnd());
    return exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.usage;
  } catch (err) {
    printDiagnostic('commandFailed', { reason: (err as Error).stack ?? String(err) });
    return EXIT_CODES.failed;
  }
}
