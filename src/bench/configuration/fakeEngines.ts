/** Fake engines that execute orders, such as loading a model, with a fixed duration. */
import type { CoreEvent, EngineOrder, UpstreamId, UpstreamReport } from '../../core/types.js';

type OrderResult = Extract<CoreEvent, { readonly kind: 'orderSettled' }>['result'];

export interface FakeEngine {
  readonly id: UpstreamId;
  /** Whether the engine rejects orders with a number lower than that of the last accepted one. */
  readonly checksOrderNumber: boolean;
  model: string;
  version: string;
  adapters: string[];
  role: string;
  orderNumber: number;
  /** The order in progress, which takes effect at `doneAt`. */
  loading: { readonly order: EngineOrder; readonly doneAt: number } | undefined;
  /** Number of model loads started. */
  loads: number;
  isUp: boolean;
}

export interface FakeEngines {
  readonly engines: ReadonlyMap<UpstreamId, FakeEngine>;
  readonly report: (id: UpstreamId, now: number) => UpstreamReport | undefined;
  readonly giveOrder: (
    id: UpstreamId,
    number: number,
    order: EngineOrder,
    now: number,
  ) => OrderResult;
  /** Returns the number of engines that are loading a model. */
  readonly loadingCount: (now: number) => number;
}

export interface FakeEnginesOptions {
  readonly ids: readonly UpstreamId[];
  readonly checksOrderNumber: (id: UpstreamId) => boolean;
  readonly loadMs: number;
}

export function createFakeEngines(options: FakeEnginesOptions): FakeEngines {
  const engines = new Map(
    options.ids.map((id): [UpstreamId, FakeEngine] => [
      id,
      {
        id,
        checksOrderNumber: options.checksOrderNumber(id),
        model: 'old',
        version: '0',
        adapters: [],
        role: '',
        orderNumber: -1,
        loading: undefined,
        loads: 0,
        isUp: true,
      },
    ]),
  );

  function completeLoading(engine: FakeEngine, now: number): void {
    const { loading } = engine;
    if (loading === undefined || now < loading.doneAt) return;
    engine.loading = undefined;
    const { order } = loading;
    if (order.kind === 'load-model') {
      engine.model = order.model;
      engine.version = order.version;
      engine.adapters = [];
    } else if (order.kind === 'load-adapter') {
      engine.adapters = [...engine.adapters, order.adapter];
    } else {
      engine.role = order.role;
    }
  }

  return {
    engines,
    report: (id, now) => {
      const engine = engines.get(id);
      if (engine?.isUp !== true) return undefined;
      completeLoading(engine, now);
      const { model, version, adapters, role, orderNumber } = engine;
      const load = { running: 0, queued: 0, slots: 4, tokensPerSecond: 0, epoch: 'e' };
      return { model, version, adapters, role, orderNumber, ...load };
    },
    giveOrder: (id, number, order, now) => {
      const engine = engines.get(id);
      if (engine?.isUp !== true) return 'failed';
      completeLoading(engine, now);
      if (engine.checksOrderNumber && number < engine.orderNumber) return 'stale';
      engine.orderNumber = number;
      const loadMs = order.kind === 'load-model' ? options.loadMs : 10;
      if (order.kind === 'load-model') engine.loads += 1;
      engine.loading = { order, doneAt: now + loadMs };
      return 'accepted';
    },
    loadingCount: (now) => {
      engines.forEach((engine) => completeLoading(engine, now));
      const all = [...engines.values()];
      return all.filter(({ loading }) => loading?.order.kind === 'load-model').length;
    },
  };
}
