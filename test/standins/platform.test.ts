import { expect } from 'chai';
import {
  createPlatformStandin,
  type PlatformOptions,
  type PlatformStandin,
} from '../../src/standins/index.js';
import { createLogStream } from '../../src/standins/log.js';
import { createRateLimit } from '../../src/standins/rateLimit.js';
import { catchRejection, readJson, send, until } from './helpers.js';

interface Page {
  readonly records: readonly { readonly offset: number; readonly data: string }[];
  readonly next: number;
}

describe('platform stand-in', () => {
  let platform: PlatformStandin;
  const start = async (options: PlatformOptions = {}) => {
    platform = await createPlatformStandin(options);
  };
  afterEach(async () => platform.stop());

  const records = () => `${platform.url}/streams/edits/records`;
  const append = async (...data: string[]) => send(records(), { records: data });
  const read = async (from: number, waitMs = 0) =>
    fetch(`${records()}?from=${from}&waitMs=${waitMs}`);

  it('returns records in the order of their offsets', async () => {
    await start();
    expect(await readJson(await append('a', 'b'))).to.deep.equal({ offset: 0 });
    expect(await readJson(await append('c'))).to.deep.equal({ offset: 2 });
    expect(await readJson<Page>(await read(1))).to.deep.equal({
      records: [
        { offset: 1, data: 'b' },
        { offset: 2, data: 'c' },
      ],
      next: 3,
    });
  });

  it('answers a waiting read when a record is appended', async () => {
    await start();
    const page = read(0, 30_000);
    await append('late');
    expect((await readJson<Page>(await page)).next).to.equal(1);
  });

  it('answers 410 with the oldest retained offset if the record has expired', async () => {
    await start({ retentionRecords: 2 });
    await append('a', 'b', 'c');
    const res = await read(0);
    expect(res.status).to.equal(410);
    expect(await readJson(res)).to.deep.equal({ oldest: 1 });
  });

  it('drops the reply of an executed append', async () => {
    await start();
    platform.setFault({ kind: 'lost-reply', rate: 1 });
    expect(await catchRejection(append('kept'))).to.be.instanceOf(Error);
    expect((await readJson<Page>(await read(0))).records).to.have.length(1);
  });

  it('rejects or holds calls only to the parts in outage', async () => {
    await start();
    platform.setFault({ kind: 'outage', parts: ['log'] });
    expect((await append('refused')).status).to.equal(503);
    expect((await fetch(`${platform.url}/instances`)).status).to.equal(200);
    platform.setFault({ kind: 'outage', mode: 'hang', parts: ['log'] });
    const held = append('held');
    platform.setFault({ kind: 'clear' });
    expect((await held).status).to.equal(200);
  });

  it('limits the rates of appends and weight downloads', async () => {
    await start({ appendsPerSecond: 1, weightsPerSecond: 0.1 });
    expect((await append('a')).status).to.equal(200);
    const refused = await append('b');
    expect(refused.status).to.equal(429);
    expect(Number(refused.headers.get('retry-after'))).to.equal(1);
    const weights = async () => (await fetch(`${platform.url}/weights/rota/2`)).status;
    expect([await weights(), await weights()]).to.deep.equal([200, 429]);
  });

  const instances = [
    { id: 'i1', address: '127.0.0.1:1', domain: 'd', region: 'r', state: 'live' as const },
  ];
  const list = async () => readJson(await fetch(`${platform.url}/instances`));

  it('hides a change of the instance list until the delay has passed', async () => {
    await start({ listLagMs: 3_600_000 });
    platform.setInstances(instances);
    expect(await list()).to.deep.equal({ instances: [] });
  });

  it('shows a change of the instance list after the delay', async () => {
    await start({ listLagMs: 1 });
    platform.setInstances(instances);
    let seen: unknown;
    await until(() => {
      void list().then((value) => {
        seen = value;
      });
      return JSON.stringify(seen) === JSON.stringify({ instances });
    });
  });
});

describe('log stream', () => {
  it('expires records by age without reusing offsets', async () => {
    let now = 0;
    const stream = createLogStream({
      retentionRecords: 10,
      retentionMs: 100,
      now: () => now,
    });
    stream.append(['a']);
    now = 101;
    expect(stream.append(['b'])).to.equal(1);
    expect(await stream.read(0, 10, 0)).to.deep.equal({ kind: 'expired', oldest: 1 });
    now = 300;
    expect(await stream.read(2, 10, 0)).to.deep.equal({ kind: 'records', records: [], next: 2 });
  });
});

describe('rate limit', () => {
  it('allows a burst and then one call per interval', () => {
    let now = 0;
    const limit = createRateLimit(10, 2, () => now);
    expect([limit.take(), limit.take(), limit.take()]).to.deep.equal([0, 0, 100]);
    now = 100;
    expect([limit.take(), limit.take()]).to.deep.equal([0, 100]);
  });
});
