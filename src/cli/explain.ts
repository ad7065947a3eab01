/**
 * Traces one request through the logs of several instances: selects the lines that mention it, sorts
 * them by time and identifies the decision that ended it, with the inputs of that decision.
 */
import { routingEvents, type RoutingEventCode } from '../routing/eventTable.js';

/** A parsed line of the routing core's log. */
export interface LogLine {
  readonly time: string;
  readonly instance: string;
  readonly event: RoutingEventCode;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface Explanation {
  /** Lines that mention the request, in chronological order. */
  readonly way: readonly LogLine[];
  /** The decision that ended the request, if it was logged. */
  readonly ending: LogLine | undefined;
  /** Lines of category `belief` that the deciding instance logged shortly before the decision. */
  readonly beliefs: readonly LogLine[];
}

/** Events that do not end a request. Any other event that mentions the request ends it. */
const NON_TERMINAL_EVENTS: ReadonlySet<RoutingEventCode> = new Set([
  'sent',
  'retried',
  'resumed',
  'retryBudgetSpent',
  'triedAgain',
  'notRetried',
]);
/** Events that tell why an upstream was sent no requests. */
const UNWILLING_EVENTS: ReadonlySet<RoutingEventCode> = new Set([
  'upstreamLeaving',
  'pauseRequested',
]);
const BELIEF_WINDOW_MS = 5_000;
const MAX_BELIEFS = 20;

/** Parses JSON log lines. Text that is not a log line of the routing core is skipped. */
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

/** Reconstructs the course of a request from log lines. */
export function explainRequest(requestId: string, lines: readonly LogLine[]): Explanation {
  const way = lines.filter(({ fields }) => fields.request === requestId).sort(byTime);
  const ending = way.findLast(({ event }) => !NON_TERMINAL_EVENTS.has(event));
  const beliefs = ending === undefined ? [] : beliefsBefore(ending, lines);
  return { way, ending, beliefs };
}

/** Formats a log line for display: time, instance, event, description and inputs. */
export function formatLogLine({ time, instance, event, fields }: LogLine): string {
  const inputs = Object.entries(fields)
    .filter(([name, value]) => value !== undefined && !['level', 'code', 'request'].includes(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return `${time} ${instance} ${event}: ${routingEvents[event].text} ${inputs.join(' ')}`.trimEnd();
}

function beliefsBefore(ending: LogLine, lines: readonly LogLine[]): readonly LogLine[] {
  const end = Date.parse(ending.time);
  const isInWindow = ({ time }: LogLine) => {
    const ageMs = end - Date.parse(time);
    return ageMs >= 0 && ageMs <= BELIEF_WINDOW_MS;
  };
  const { cause } = ending.fields;
  // What is known of a refused cause may be minutes old.
  const isOfCause = ({ time, fields }: LogLine) =>
    cause !== undefined && fields.cause === cause && time <= ending.time;
  const unwilling = String(ending.fields.unwilling ?? '').split(',');
  // What an upstream has said of itself may be minutes old.
  const isOfUnwilling = ({ time, event, fields }: LogLine) =>
    UNWILLING_EVENTS.has(event) &&
    unwilling.includes(String(fields.upstream)) &&
    time <= ending.time;
  return lines
    .filter((line) => line.instance === ending.instance)
    .filter((line) => isInWindow(line) || isOfCause(line) || isOfUnwilling(line))
    .filter(({ event }) => routingEvents[event].category === 'belief')
    .sort(byTime)
    .slice(-MAX_BELIEFS);
}

function byTime(a: LogLine, b: LogLine): number {
  return a.time < b.time ? -1 : Number(a.time > b.time);
}
