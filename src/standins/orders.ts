/**
 * Orders that set the model, adapters and role of a model engine. An engine that checks order
 * numbers rejects an order with a number lower than the last accepted one; others accept any order.
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

/** Model, adapters and role of an engine as set by orders. */
export interface EngineAssignment {
  readonly model: string;
  readonly version: string;
  readonly role: string;
  readonly adapters: Readonly<Record<string, string>>;
  /** Number of the last accepted order. */
  readonly orderNumber: number;
}

/** A received order and whether it was accepted. */
export interface OrderRecord extends NumberedOrder {
  readonly accepted: boolean;
}

export interface OrdersOptions {
  readonly initial: EngineAssignment;
  /** Whether an order with a lower number than the last accepted one is rejected. */
  readonly checksOrders: boolean;
  /** Time to load a model or an adapter, in addition to the download. */
  readonly loadMs: Millis;
  /** Base URL of the weight store; if absent, nothing is downloaded. */
  readonly weightsUrl: string | undefined;
  /** Called when loading a model or an adapter starts, and when loading a model ends. */
  readonly onChange: () => void;
}

export interface Orders {
  /** Submits an order; returns false if its number is too low. Loading continues asynchronously. */
  submit: (numbered: NumberedOrder) => boolean;
  current: () => EngineAssignment;
  /** Whether a model is being loaded; the engine processes no requests in the meantime. */
  isLoadingModel: () => boolean;
  history: () => readonly OrderRecord[];
  /** Restores the initial assignment but keeps the order number, as a restart does. */
  reset: () => void;
}

const MODEL_LOAD_KEY = 'model';

/** Creates the order handling of one engine. */
export function createOrders(options: OrdersOptions): Orders {
  const history: OrderRecord[] = [];
  /** Load in progress of the model and of each adapter; a newer load supersedes the current one. */
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

  /** Resolves to false if the load failed or was superseded by a newer one. */
  async function load(loadKey: string, name: string, version: string): Promise<boolean> {
    const currentLoad = {};
    const isCurrent = () => loads.get(loadKey) === currentLoad;
    loads.set(loadKey, currentLoad);
    options.onChange();
    try {
      await download(`${name}/${version}`, isCurrent);
      await sleep(options.loadMs);
    } catch {
      // The weight store is unreachable: the engine keeps its current weights.
      if (isCurrent()) loads.delete(loadKey);
      return false;
    }
    if (!isCurrent()) return false;
    loads.delete(loadKey);
    return true;
  }

  async function loadModel(model: string, version: string): Promise<void> {
    if (await load(MODEL_LOAD_KEY, model, version)) assignment = { ...assignment, model, version };
    options.onChange();
  }

  async function loadAdapter(adapter: string, version: string): Promise<void> {
    if (!(await load(`adapter ${adapter}`, adapter, version))) return;
    assignment = { ...assignment, adapters: { ...assignment.adapters, [adapter]: version } };
  }

  function executeOrder(order: EngineOrder): void {
    if (order.kind === 'load-model') void loadModel(order.model, order.version);
    else if (order.kind === 'load-adapter') void loadAdapter(order.adapter, order.version);
    else assignment = { ...assignment, role: order.role };
  }

  return {
    submit: (numbered) => {
      const accepted = !options.checksOrders || numbered.number >= assignment.orderNumber;
      history.push({ ...numbered, accepted });
      if (!accepted) return false;
      assignment = { ...assignment, orderNumber: numbered.number };
      executeOrder(numbered.order);
      return true;
    },
    current: () => assignment,
    isLoadingModel: () => loads.has(MODEL_LOAD_KEY),
    history: () => history,
    reset: () => {
      loads.clear();
      assignment = { ...options.initial, orderNumber: assignment.orderNumber };
    },
  };
}
