/** Tells which requests are the most valuable ones, compared with those before them. */

export interface ValueThreshold {
  /** Returns whether a value is among the highest `fraction` of the latest ones, and records it. */
  readonly isAmongHighest: (value: number, fraction: number) => boolean;
}

/** Number of values that are compared. */
const REMEMBERED_VALUES = 32;

export function createValueThreshold(): ValueThreshold {
  const values: number[] = [];
  return {
    isAmongHighest: (value, fraction) => {
      const higher = values.filter((other) => other > value).length;
      const isHigh = higher < fraction * Math.max(1, values.length);
      values.push(value);
      if (values.length > REMEMBERED_VALUES) values.shift();
      return isHigh;
    },
  };
}
