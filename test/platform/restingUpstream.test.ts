import { expect } from 'chai';
import type { BatchEngine } from '../../src/standins/platform/batchEngine.js';
import {
  addReadyInstance,
  call,
  createPlatformFleet,
  hasLogged,
  until,
  type PlatformFleet,
  type StartedInstance,
} from './support/fleet.js';

describe('an upstream that refuses with a Retry-After, over sockets', () => {
  let fleet: PlatformFleet;
  let engine: BatchEngine;
  let instance: StartedInstance;

  beforeEach(async () => {
    fleet = await createPlatformFleet();
    fleet.configure(1);
    engine = await fleet.addEngine('models');
    instance = await addReadyInstance(fleet);
  });

  afterEach(async () => fleet.close());

  /** Has the upstream refuse one request. */
  async function refuseOnce(retryAfter: string): Promise<void> {
    engine.setFault({ kind: 'shed', retryAfter });
    await call(instance, '/draft/1');
    engine.setFault({ kind: 'none' });
  }

  it('gets no request of that instance for that time, and requests again after it', async () => {
    await refuseOnce('0.4');
    const early = await call(instance, '/draft/2');
    expect(early.status).to.equal(503);
    expect(Number(early.headers['retry-after'])).to.be.above(0.1);
    expect(engine.arrivals()).to.equal(1);
    await until(() => hasLogged(instance, 'pauseEnded'), 'the time has passed');
    expect((await call(instance, '/draft/3')).status).to.equal(200);
  });

  it('leaves its requests to the others meanwhile', async () => {
    await refuseOnce('60');
    const other = await fleet.addEngine('models');
    await until(
      () => instance.logged.filter(({ event }) => event === 'upstreamListed').length === 2,
      'the other upstream is listed',
    );
    const answers = await Promise.all([2, 3, 4, 5].map(async (n) => call(instance, `/draft/${n}`)));
    expect(answers.every(({ status }) => status === 200)).to.equal(true);
    expect(engine.arrivals()).to.equal(1);
    expect(other.arrivals()).to.equal(4);
  });

  ['soon', '-1', 'NaN', 'Wed, 21 Oct 2026 07:28:00 GMT'].forEach((value) => {
    it(`goes on if "${value}" stands in its place, and the value is logged`, async () => {
      await refuseOnce(value);
      expect((await call(instance, '/draft/2')).status).to.equal(200);
      expect(hasLogged(instance, 'pauseUnreadable')).to.equal(true);
    });
  });
});
