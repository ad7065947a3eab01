/** The `explain` command: traces one request through the log files of several instances. */
import { command, flag, positional, restPositionals, string } from 'cmd-ts';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { explainRequest, formatLogLine, readLogLines, type Explanation } from '../explain.js';
import { readText, UNREADABLE_EXIT_CODE } from '../files.js';
import { printDiagnostic, printJson, printLine } from '../output.js';

const options = {
  request: positional({ type: string, displayName: 'ID', description: 'id of the request' }),
  files: restPositionals({ type: string, displayName: 'FILE', description: 'log files' }),
  json: flag({ long: 'json', description: 'print the lines as JSON' }),
};

export const explain = command({
  name: 'explain',
  description: 'Prints the log lines of one request and the decision that ended it.',
  args: options,
  handler: async ({ request, files, json }): Promise<ExitCode> => {
    const texts = await Promise.all(files.map(readText));
    if (texts.some((text) => text === undefined)) return UNREADABLE_EXIT_CODE;
    const lines = texts.flatMap((text) => readLogLines(text ?? ''));
    const explanation = explainRequest(request, lines);
    if (json) printJson(explanation);
    else print(explanation);
    if (explanation.way.length > 0) return EXIT_CODES.ok;
    printDiagnostic('requestNotLogged', { request });
    return EXIT_CODES.failed;
  },
});

function print({ way, ending, beliefs }: Explanation): void {
  way.forEach((line) => printLine(formatLogLine(line)));
  if (ending === undefined) return;
  printLine(`Ended by '${ending.event}' at ${ending.instance}.`);
  if (beliefs.length === 0) return;
  printLine('State changes observed by that instance in the preceding seconds:');
  beliefs.forEach((line) => printLine(`  ${formatLogLine(line)}`));
}
