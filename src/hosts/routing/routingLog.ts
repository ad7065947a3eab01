/** Structured log of the routing core: one JSON object per line. */
import loglevel from 'loglevel';
import type { Millis } from '../../core/clock.js';
import type { LogLevel } from '../../core/types.js';
import { routingEvents, type RoutingEventCode } from '../../routing/eventTable.js';
import type { LogFields } from '../../routing/types.js';
import type { LogThreshold } from '../logger.js';
import { createLineWriter, type LineWriterOptions } from './lineWriter.js';

export interface RoutingLogOptions {
  readonly instance: string;
  readonly now: () => Millis;
  readonly timeOfDay: () => Millis;
  readonly threshold?: LogThreshold;
  readonly fd?: number;
  readonly writer?: Partial<LineWriterOptions>;
}

export interface RoutingLog {
  readonly write: (level: LogLevel, code: RoutingEventCode, fields: LogFields) => void;
  readonly omitted: () => number;
  readonly flush: () => Promise<void>;
}

const STDOUT_FD = 1;

export function createRoutingLog(options: RoutingLogOptions): RoutingLog {
  const log = loglevel.getLogger(Symbol(options.instance));
  const formatLine = (level: LogLevel, code: RoutingEventCode, fields: LogFields) =>
    JSON.stringify({
      time: new Date(options.timeOfDay()).toISOString(),
      level,
      instance: options.instance,
      event: code,
      code: routingEvents[code].number,
      ...fields,
    });
  const writer = createLineWriter({
    fd: options.fd ?? STDOUT_FD,
    now: options.now,
    omittedLine: (count) => formatLine('warn', 'linesOmitted', { count }),
    ...options.writer,
  });
  log.methodFactory = (method) => (line: string) => {
    writer.write(line, method === 'warn' || method === 'error' ? 'failure' : 'expected');
  };
  log.setLevel(options.threshold ?? 'info', false);
  const isEnabled = (level: LogLevel) =>
    log.getLevel() <= log.levels[level.toUpperCase() as keyof typeof log.levels];
  return {
    write: (level, code, fields) => {
      if (isEnabled(level)) log[level](formatLine(level, code, fields));
    },
    omitted: writer.omitted,
    flush: writer.flush,
  };
}
