/**
 * Follows one request through the log lines of several instances: finds the lines that name it, puts
 * them in order and tells which decision ended it, with its inputs.
 */
import { routingEvents, type RoutingEventCode } from '../routing/eventTable.js';

/** A line of the routing core's log. */
export interface LogLine {
  readonly time: string;
  readonly instance: string;
  readonly event: RoutingEventCode;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface Explanation {
  /** Lines that name the request, the earliest first. */
  readonly way: readonly LogLine[];
  /** The decision that ended it, if a line tells it. */
  readonly ending: LogLine | undefined;
  /** Lines on what the deciding instance believed, from shortly before the end. */
  readonly beliefs: readonly LogLine[];
}

/** Events that a request may pass through; all others of its category end it. */
const ON_THE_WAY: ReadonlySet<RoutingEventCode> = new Set([
  'sent',
  'retried',
  'resumed',
  'retryBudgetSpent',
]);
const BELIEF_SPAN_MS = 5_000;
const MAX_BELIEFS = 20;

/** Reads lines of JSON; whatever else stands in a file is left out. */
export function readLogLines(text: string): readonly LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{');
    if (start < 0) return [];
    try {
      const value = JSON.parse(line.slice(start)) as Readonly<Record<string, unknown>>;
      const { time, instance, event, ...fields } = value;
      const isLine =
        typeof time === 'string' &&
        typeof instance === 'string' &&
        typeof event === 'string' &&
        event in routingEvents;
      return isLine ? [{ time, instance, event: event as RoutingEventCode, fields }] : [];
    } catch {
      return [];
    }
  });
}

/** Explains what became of a request. */
export function explainRequest(requestId: string, lines: readonly LogLine[]): Explanation {
  const way = lines.filter(({ fields }) => fields.request === requestId).sort(byTime);
  const ending = way.findLast(({ event }) => !ON_THE_WAY.has(event));
  const beliefs = ending === undefined ? [] : beliefsBefore(ending, lines);
  return { way, ending, beliefs };
}

/** One line for people: time, instance, event, what it means, and its inputs. */
export function formatLogLine({ time, instance, event, fields }: LogLine): string {
  const inputs = Object.entries(fields)
    .filter(([name, value]) => value !== undefined && !['level', 'code', 'request'].includes(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return `${time} ${instance} ${event}: ${routingEvents[event].text} ${inputs.join(' ')}`.trimEnd();
}

function beliefsBefore(ending: LogLine, lines: readonly LogLine[]): readonly LogLine[] {
  const end = Date.parse(ending.time);
  const isNear = ({ time }: LogLine) => {
    const before = end - Date.parse(time);
    return before >= 0 && before <= BELIEF_SPAN_MS;
  };
  return lines
    .filter((line) => line.instance === ending.instance && isNear(line))
    .filter(({ event }) => routingEvents[event].category === 'belief')
    .sort(byTime)
    .slice(-MAX_BELIEFS);
}

function byTime(a: LogLine, b: LogLine): number {
  return a.time < b.time ? -1 : Number(a.time > b.time);
}
