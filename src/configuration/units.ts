/** Parses and formats durations and sizes in the notation of the settings file. */
import { MS_PER_SECOND, type Millis } from '../core/clock.js';

const MS_PER_MINUTE: Millis = 60 * MS_PER_SECOND;
const MS_PER_HOUR: Millis = 60 * MS_PER_MINUTE;

const DURATION_UNITS: Readonly<Record<string, Millis>> = {
  ms: 1,
  s: MS_PER_SECOND,
  m: MS_PER_MINUTE,
  h: MS_PER_HOUR,
};

const SIZE_UNITS: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 1_024,
  MiB: 1_024 ** 2,
  GiB: 1_024 ** 3,
};

/** Parses a duration such as `250ms`, `4s`, `5m` or `1h`; `undefined` if it is malformed. */
export function parseDuration(text: string): Millis | undefined {
  return parseWithUnit(text, DURATION_UNITS);
}

/** Parses a size such as `100B`, `64KiB`, `4MiB` or `1GiB` to bytes; `undefined` if malformed. */
export function parseSize(text: string): number | undefined {
  return parseWithUnit(text, SIZE_UNITS);
}

function parseWithUnit(text: string, units: Readonly<Record<string, number>>): number | undefined {
  const match = /^(\d{1,9}(?:\.\d{1,3})?)([A-Za-z]{1,3})$/.exec(text);
  const unit = match?.[2] === undefined ? undefined : units[match[2]];
  return unit === undefined ? undefined : Number(match?.[1]) * unit;
}

/** Formats a duration in the largest unit of which it is a multiple. */
export function formatDuration(duration: Millis): string {
  return formatWithUnit(duration, DURATION_UNITS);
}

/** Formats a size in the largest unit of which it is a multiple. */
export function formatSize(bytes: number): string {
  return formatWithUnit(bytes, SIZE_UNITS);
}

function formatWithUnit(value: number, units: Readonly<Record<string, number>>): string {
  const largestUnit = Object.entries(units).findLast(([, unit]) => value % unit === 0 && value > 0);
  const [name, unit] = largestUnit ?? Object.entries(units)[0] ?? ['', 1];
  return `${value / unit}${name}`;
}
