/**
 * Orders to a model engine: which model, adapters and role it has. Engines that check the number of
 * an order refuse one that is older than the last accepted; others take any order.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import * as z from 'zod';
import type { Millis } from '../core/clock.js';
import { MS_PER_SECOND } from '../core/clock.js';

const orderSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('load-model'), model: z.string(), version: z.string() }),
  z.strictObject({ kind: z.literal('load-adapter'), adapter: z.string(), version: z.string() }),
  z.strictObject({ kind: z.literal('set-role'), role: z.string() }),
]);
export const numberedOrderSchema = z.object({
  order: orderSchema,
  number: z.number().int().min(0),
});

export type EngineOrder = z.infer<typeof orderSchema>;
export type NumberedOrder = z.infer<typeof numberedOrderSchema>;

/** What orders decide. */
export interface EngineAssignment {
  readonly model: string;
  readonly version: string;
  readonly role: string;
  readonly adapters: Readonly<Record<string, string>>;
  /** Number of the last accepted order. */
  readonly orderNumber: number;
}

/** An order as it was met. */
export interface OrderRecord extends NumberedOrder {
  readonly accepted: boolean;
}

export interface OrdersOptions {
  readonly initial: EngineAssignment;
  /** Whether an older number is refused. */
  readonly checksOrders: boolean;
  /** Time to load a model or an adapter, besides the download. */
  readonly loadMs: Millis;
  /** Base URL of the weight store; without it nothing is downloaded. */
  readonly weightsUrl: string | undefined;
  /** Called when the load of a model starts or ends. */
  readonly onChange: () => void;
}

export interface Orders {
  /** Takes an order; false if its number is too old. It is carried out after this returns. */
  give: (numbered: NumberedOrder) => boolean;
  current: () => EngineAssignment;
  /** Whether a model is being replaced, while no request runs. */
  isLoadingModel: () => boolean;
  history: () => readonly OrderRecord[];
  /** Forgets all but the number, as a restart does. */
  reset: () => void;
}

const MODEL_SLOT = 'model';

/** Creates the orders' state of one engine. */
export function createOrders(options: OrdersOptions): Orders {
  const history: OrderRecord[] = [];
  /** The load in progress of the model and of each adapter; a newer one takes its place. */
  const loads = new Map<string, object>();
  let assignment = options.initial;

  async function download(path: string, isCurrent: () => boolean): Promise<void> {
    if (options.weightsUrl === undefined || !isCurrent()) return;
    const { statusCode, headers, body } = await request(`${options.weightsUrl}/weights/${path}`);
    await body.dump();
    if (statusCode === 200) return;
    await sleep(Number(headers['retry-after'] ?? 1) * MS_PER_SECOND);
    await download(path, isCurrent);
  }

  /** Returns false if the load failed or was replaced by a newer one. */
  async function load(slot: string, name: string, version: string): Promise<boolean> {
    const mine = {};
    const isCurrent = () => loads.get(slot) === mine;
    loads.set(slot, mine);
    options.onChange();
    try {
      await download(`${name}/${version}`, isCurrent);
      await sleep(options.loadMs);
    } catch {
      // The weight store can't be reached: the engine keeps what it has.
      if (isCurrent()) loads.delete(slot);
      return false;
    }
    if (!isCurrent()) return false;
    loads.delete(slot);
    return true;
  }

  async function loadModel(model: string, version: string): Promise<void> {
    if (await load(MODEL_SLOT, model, version)) assignment = { ...assignment, model, version };
    options.onChange();
  }

  async function loadAdapter(adapter: string, version: string): Promise<void> {
    if (!(await load(`adapter ${adapter}`, adapter, version))) return;
    assignment = { ...assignment, adapters: { ...assignment.adapters, [adapter]: version } };
  }

  function carryOut(order: EngineOrder): void {
    if (order.kind === 'load-model') void loadModel(order.model, order.version);
    else if (order.kind === 'load-adapter') void loadAdapter(order.adapter, order.version);
    else assignment = { ...assignment, role: order.role };
  }

  return {
    give: (numbered) => {
      const accepted = !options.checksOrders || numbered.number >= assignment.orderNumber;
      history.push({ ...numbered, accepted });
      if (!accepted) return false;
      assignment = { ...assignment, orderNumber: numbered.number };
      carryOut(numbered.order);
      return true;
    },
    current: () => assignment,
    isLoadingModel: () => loads.has(MODEL_SLOT),
    history: () => history,
    reset: () => {
      loads.clear();
      assignment = { ...options.initial, orderNumber: assignment.orderNumber };
    },
  };
}
