/**
 * The `load` command: runs an open-loop load against a fleet and reports shares, latencies and the
 * correctness of responses.
 */
import { writeFile } from 'node:fs/promises';
import {
  type Type,
  command,
  flag,
  multioption,
  number,
  option,
  optional,
  positional,
  string,
} from 'cmd-ts';
import {
  formatLoadReport,
  formatLoadResult,
  hasOnlyValidOutcomes,
  parseFaultFile,
  parseLoadFile,
  runLoad,
  type LoadResult,
  type ParsedFile,
} from '../../bench/load/index.js';
import { EXIT_CODES, type ExitCode } from '../exitCodes.js';
import { readText } from '../files.js';
import { printDiagnostic, printError, printJson, printLine } from '../output.js';

/** Parses `NAME=PID` arguments. Signals are sent only to these process ids. */
const processIds: Type<string[], ReadonlyMap<string, number>> = {
  displayName: 'name=pid',
  from: async (texts) =>
    new Map(
      texts.map((text) => {
        const [, name, pid] = /^([^=]+)=(\d+)$/u.exec(text) ?? [];
        if (name === undefined || Number(pid) <= 1) throw new Error(`'${text}' is not NAME=PID`);
        return [name, Number(pid)] as const;
      }),
    ),
};

const options = {
  file: positional({ type: string, displayName: 'FILE', description: 'YAML file of the load' }),
  faults: option({
    type: optional(string),
    long: 'faults',
    description: 'YAML file with a schedule of faults',
  }),
  pids: multioption({
    type: processIds,
    long: 'pid',
    description: 'NAME=PID of a process targeted by the faults; may be repeated',
  }),
  seed: option({
    type: optional(number),
    long: 'seed',
    description: 'seed that overrides the one in the file',
  }),
  report: option({
    type: optional(string),
    long: 'report',
    description: 'HTML file to which plots are written',
  }),
  json: flag({ long: 'json', description: 'print the result as JSON' }),
};

export const load = command({
  name: 'load',
  description:
    'Runs a load against a fleet. Exits with 1 if a response or a refusal was incorrect.',
  args: options,
  handler: async ({ file, faults, pids, seed, report, json }): Promise<ExitCode> => {
    const loadFile = await readAndParse(file, parseLoadFile);
    const faultFile = faults === undefined ? undefined : await readAndParse(faults, parseFaultFile);
    if (loadFile === undefined || (faults !== undefined && faultFile === undefined)) {
      return EXIT_CODES.invalid;
    }
    const run = await runLoad({
      file: seed === undefined ? loadFile : { ...loadFile, seed },
      pids,
      ...(faultFile === undefined ? {} : { faults: faultFile }),
    });
    if (run.kind === 'rejected') {
      const targets = run.unknownTargets.join(', ') || 'instances';
      printDiagnostic('loadRejected', { file, targets });
      return EXIT_CODES.invalid;
    }
    if (report !== undefined) await writeFile(report, formatLoadReport(run.result));
    return printResult(run.result, json);
  },
});

async function readAndParse<T>(
  file: string,
  parse: (text: string) => ParsedFile<T>,
): Promise<T | undefined> {
  const text = await readText(file);
  if (text === undefined) return undefined;
  const parsed = parse(text);
  if (parsed.kind === 'parsed') return parsed.value;
  parsed.issues.forEach(({ line, path, message }) => {
    printError(`${file}:${line ?? 1}: error: ${path === '' ? '' : `${path}: `}${message}`);
  });
  return undefined;
}

function printResult(result: LoadResult, json: boolean): ExitCode {
  if (json) printJson(result);
  else printLine(formatLoadResult(result));
  return hasOnlyValidOutcomes(result) ? EXIT_CODES.ok : EXIT_CODES.failed;
}
