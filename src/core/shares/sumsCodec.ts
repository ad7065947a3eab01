/** Encodes service sums for the wire as integers in sixteenths of a cost unit. */
import type { CustomerNumber, PeerMessageOf, PoolNumber } from '../types.js';

export type ServiceSums = PeerMessageOf<'serviceSums'>;

/** The scope of the sums in a message. */
export const SumScope = { instance: 0, domain: 1, fleet: 2 } as const;

const WIRE_UNITS_PER_COST_UNIT = 16;

export interface SumEntry {
  readonly customer: CustomerNumber;
  readonly sum: number;
  readonly lift: number;
}

/** Rounds an amount down to the precision of the wire format. */
export function floorToWire(amount: number): number {
  return Math.floor(amount * WIRE_UNITS_PER_COST_UNIT) / WIRE_UNITS_PER_COST_UNIT;
}

/** Encodes a message; `waiting` contains the entries of customers with waiting work. */
export function encodeSums(
  header: Pick<ServiceSums, 'scope'> & { readonly account: PoolNumber } & Partial<ServiceSums>,
  waiting: readonly SumEntry[],
  others: readonly SumEntry[],
): ServiceSums {
  const entries = [...waiting, ...others];
  const toWire = (amount: number) => Math.floor(amount * WIRE_UNITS_PER_COST_UNIT);
  return {
    scope: header.scope,
    pool: header.account,
    origin: header.origin ?? '',
    originIncarnation: header.originIncarnation ?? 0,
    sequence: header.sequence ?? 0,
    acknowledged: header.acknowledged ?? 0,
    waiting: waiting.length,
    customers: entries.map((entry) => entry.customer),
    sums: entries.map((entry) => toWire(entry.sum)),
    lifts: entries.map((entry) => toWire(entry.lift)),
  };
}

/** Decodes a message and calls `action` for each entry. */
export function forEachSum(
  message: ServiceSums,
  action: (entry: SumEntry, isWaiting: boolean) => void,
): void {
  message.customers.forEach((customer, i) => {
    const sum = (message.sums[i] ?? 0) / WIRE_UNITS_PER_COST_UNIT;
    const lift = (message.lifts[i] ?? 0) / WIRE_UNITS_PER_COST_UNIT;
    action({ customer, sum, lift }, i < message.waiting);
  });
}
