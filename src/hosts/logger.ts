/** Writes log lines with `loglevel`, as text with a prefix for the logging component or as JSON. */
import loglevel from 'loglevel';
import type { Clock } from '../core/clock.js';
import { formatDiagnostic } from '../core/diagnostics.js';
import type { Logger } from './types.js';

export type LogThreshold = 'debug' | 'info' | 'warn' | 'error' | 'silent';
export type LogFormat = 'text' | 'json';

export interface LoggerOptions {
  readonly instance: string;
  readonly clock: Clock;
  readonly threshold?: LogThreshold;
  readonly format?: LogFormat;
  /** Writes a formatted line; to standard error by default. */
  readonly writeLine?: (line: string) => void;
}

const PREFIX_WIDTH = 13;

/** Creates the logger of one instance. */
export function createLogger(options: LoggerOptions): Logger {
  const format = options.format ?? 'text';
  const writeLine = options.writeLine ?? ((line) => process.stderr.write(`${line}\n`));
  const log = loglevel.getLogger(Symbol(options.instance));
  log.methodFactory = () => (line: string) => writeLine(line);
  log.setLevel(options.threshold ?? 'info', false);
  const time = () => new Date(options.clock.now()).toISOString();

  function formatTextLine(part: string, message: string): string {
    return `${time()} ${options.instance} ${`${part}:`.padEnd(PREFIX_WIDTH)} ${message}`;
  }

  return {
    write: (level, part, code, args) => {
      const message = formatDiagnostic(code, args);
      const fields = { time: time(), level, instance: options.instance, part, code, message, args };
      log[level](format === 'json' ? JSON.stringify(fields) : formatTextLine(part, message));
    },
    audit: (entry) => {
      const { at, who, action, subject, accepted, detail } = entry;
      const verdict = accepted ? 'accepted' : 'refused';
      const message = `${action} ${subject} by ${who} ${verdict}. ${detail}`.trimEnd();
      const fields = { level: 'info', instance: options.instance, part: 'audit', ...entry };
      const line = { time: new Date(at).toISOString(), ...fields };
      log.info(format === 'json' ? JSON.stringify(line) : formatTextLine('audit', message));
    },
  };
}
