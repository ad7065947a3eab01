import { expect } from 'chai';
import {
  bodyHash,
  createServiceStandin,
  type ServiceOptions,
  type ServiceReply,
  type ServiceStandin,
} from '../../src/standins/index.js';
import { catchRejection, readJson, until } from './helpers.js';

describe('service stand-in', () => {
  let service: ServiceStandin;
  const start = async (options: ServiceOptions = {}) => {
    service = await createServiceStandin({ latencyMs: 0, ...options });
  };
  afterEach(async () => service.stop());

  const call = async (key: string) =>
    fetch(`${service.url}/nets/7?day=2`, {
      method: 'PUT',
      headers: { 'idempotency-key': key, 'x-request-id': `request ${key}` },
      body: `body ${key}`,
    });

  it('returns method, path, body hash and request id, and counts by key', async () => {
    await start();
    await call('a');
    const res = await call('a');
    expect(await readJson<ServiceReply>(res)).to.deep.equal({
      method: 'PUT',
      path: '/nets/7?day=2',
      bodyHash: bodyHash('body a'),
    });
    expect(res.headers.get('x-request-id')).to.equal('request a');
    expect(service.executions()).to.deep.include({ byKey: { a: 2 }, total: 2 });
  });

  it('limits the number of concurrent calls', async () => {
    await start({ concurrency: 2, latencyMs: 5 });
    const keys = Array.from({ length: 10 }, (_, i) => `k${i}`);
    await Promise.all(keys.map(call));
    const { busySlotMs, elapsedMs } = service.stats();
    expect(busySlotMs).to.be.at.most(2 * elapsedMs);
    expect(service.executions().total).to.equal(10);
  });

  it('drops the reply after executing the call', async () => {
    await start();
    service.setFault({ kind: 'lost-reply', rate: 1 });
    expect(await catchRejection(call('lost'))).to.be.instanceOf(Error);
    expect(service.executions().byKey).to.deep.equal({ lost: 1 });
  });

  it('rejects a call without executing it', async () => {
    await start();
    service.setFault({ kind: 'refuse', rate: 1 });
    expect((await call('refused')).status).to.equal(503);
    expect(service.executions().total).to.equal(0);
  });

  it('crashes on a poisoned call and retains its counts', async () => {
    await start();
    service.setFault({ kind: 'poison', marker: 'body bad', restartAfterMs: 0 });
    expect(await catchRejection(call('bad'))).to.be.instanceOf(Error);
    await until(service.isListening);
    expect((await call('good')).status).to.equal(200);
    expect(service.executions().byKey).to.deep.equal({ bad: 1, good: 1 });
  });

  it('sends the answer to another call with the id of that call', async () => {
    await start();
    await call('first');
    service.setFault({ kind: 'crossed', rate: 1 });
    const res = await call('second');
    expect(res.headers.get('x-request-id')).to.equal('request first');
    expect((await readJson<ServiceReply>(res)).bodyHash).to.equal(bodyHash('body first'));
  });
});
