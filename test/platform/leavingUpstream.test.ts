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

const REQUESTS = 12;

/** Sends requests one after the other and returns their statuses. */
async function callTimes(instance: StartedInstance, count: number): Promise<number[]> {
  const statuses: number[] = [];
  for (let i = 0; i < count; i += 1) {
    // eslint-disable-next-line no-await-in-loop -- one after the other
    statuses.push((await call(instance, `/draft/${i}`)).status);
  }
  return statuses;
}

describe('an upstream that says in an answer that it leaves, over sockets', () => {
  let fleet: PlatformFleet;
  let leaving: BatchEngine;
  let instance: StartedInstance;

  beforeEach(async () => {
    fleet = await createPlatformFleet();
    fleet.configure(1);
    leaving = await fleet.addEngine('models');
    instance = await addReadyInstance(fleet);
    leaving.setLeaving(true);
  });

  afterEach(async () => fleet.close());

  it('gets no further request of an instance that it has told', async () => {
    await call(instance, '/draft/1');
    const other = await fleet.addEngine('models');
    await until(() => countListed(instance) === 2, 'the other upstream is listed');
    const statuses = await callTimes(instance, REQUESTS);
    expect(statuses.every((status) => status === 200)).to.equal(true);
    expect(leaving.arrivals()).to.equal(1);
    expect(other.arrivals()).to.equal(REQUESTS);
  });

  it('gets none either after the list has repeated that it is ready', async () => {
    await call(instance, '/draft/1');
    fleet.listEngine(leaving, 'models');
    await fleet.addEngine('models');
    await until(() => countListed(instance) === 2, 'the other upstream is listed');
    await callTimes(instance, REQUESTS);
    expect(leaving.arrivals()).to.equal(1);
  });

  it('gets none of another instance that has heard of it', async () => {
    const neighbour = await addReadyInstance(fleet);
    await until(() => hasLogged(neighbour, 'peerFound'), 'they meet');
    await call(instance, '/draft/1');
    await fleet.addEngine('models');
    await until(() => countListed(neighbour) === 2, 'the other upstream is listed');
    await until(() => hasLogged(neighbour, 'upstreamLeaving'), 'the other instance has heard');
    await callTimes(neighbour, REQUESTS);
    expect(leaving.arrivals()).to.equal(1);
  });

  it('is heard in a refusal, and callers are refused at once if there is no other', async () => {
    leaving.setFault({ kind: 'shed' });
    await call(instance, '/draft/1');
    leaving.setFault({ kind: 'none' });
    const statuses = await callTimes(instance, 3);
    expect(statuses).to.deep.equal([503, 503, 503]);
    expect(leaving.arrivals()).to.equal(1);
  });

  it('gets requests again once a later start of it is listed', async () => {
    await call(instance, '/draft/1');
    leaving.setLeaving(false);
    fleet.listEngine(leaving, 'models', { born: 2 });
    await until(() => countListed(instance) === 2, 'the later start is listed');
    expect(await callTimes(instance, 3)).to.deep.equal([200, 200, 200]);
  });
});

function countListed({ logged }: StartedInstance): number {
  return logged.filter(({ event }) => event === 'upstreamListed').length;
}
