import { expect } from 'chai';
import { request } from 'undici';
import { parseSettings } from '../../src/configuration/settings.js';
import type { StoreFault } from '../../src/standins/platform/logStore.js';
import {
  call,
  createPlatformFleet,
  until,
  type PlatformFleet,
  type StartedInstance,
} from './support/fleet.js';
import { fillTemplate } from './support/settings.js';

describe('an instance on the platform', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = await createPlatformFleet();
    fleet.configure(1);
  });

  afterEach(async () => fleet.close());

  async function readyInstance(settings = {}): Promise<StartedInstance> {
    const started = await fleet.addInstance(settings);
    await until(() => started.instance.isReady(), 'the instance is ready');
    return started;
  }

  const hasLogged = ({ logged }: StartedInstance, event: string) =>
    logged.some((line) => line.event === event);
  const statusOf = async (started: StartedInstance, key?: string) =>
    (await call(started, '/draft/1', key === undefined ? {} : { key })).status;

  it('applies a newer configuration and ignores an older one', async () => {
    await fleet.addEngine('models');
    const started = await readyInstance();
    fleet.configure(5, { Tenants: [{ Name: 'b', ApiKeys: ['new-key'] }] });
    await until(
      () => started.instance.routing().state.freshness.configuration?.version === 5,
      'version 5 is active',
    );
    expect(await statusOf(started)).to.equal(401);
    expect(await statusOf(started, 'new-key')).to.equal(200);
    fleet.configure(3);
    await until(() => hasLogged(started, 'configurationIgnored'), 'the older version is ignored');
    expect(await statusOf(started)).to.equal(401);
  });

  it('keeps the active configuration if a new one is invalid', async () => {
    await fleet.addEngine('models');
    const started = await readyInstance();
    fleet.store.append('keyed.op', 'config', '{"Version": 9, "Routes": 1}');
    await until(
      () => hasLogged(started, 'configurationIgnored'),
      'the invalid configuration is logged',
    );
    expect(await statusOf(started)).to.equal(200);
  });

  const outages: readonly StoreFault[] = [
    { kind: 'refuse', status: 503 },
    { kind: 'refuse', status: 429 },
    { kind: 'reset' },
    { kind: 'silent' },
  ];
  outages.forEach((fault) => {
    const name = fault.kind === 'refuse' ? `answers ${fault.status}` : `is ${fault.kind}`;
    it(`rejects authenticated requests once the configuration is stale when the store ${name}, then recovers`, async () => {
      await fleet.addEngine('models');
      // A short revocation time keeps the test short.
      const started = await readyInstance({ revokeMs: 1_200 });
      fleet.store.setFault(fault);
      await until(() => hasLogged(started, 'configurationStale'), 'the configuration is stale');
      expect(await statusOf(started)).to.equal(503);
      expect(started.instance.isReady()).to.equal(false);
      fleet.store.setFault({ kind: 'none' });
      await until(() => started.instance.isReady(), 'the instance is ready again');
      expect(await statusOf(started)).to.equal(200);
    });
  });

  it('recovers when the store no longer retains the requested records', async () => {
    await fleet.addEngine('models');
    const started = await readyInstance();
    fleet.store.dropHistory('keyed.op');
    fleet.store.dropHistory('keyed.servers');
    fleet.configure(2);
    fleet.store.dropHistory('keyed.op');
    await until(
      () => started.instance.routing().state.freshness.configuration?.version === 2,
      'version 2 is active',
    );
    expect(await statusOf(started)).to.equal(200);
  });

  it('sends no requests to an upstream that is draining or was removed', async () => {
    const first = await fleet.addEngine('models');
    const second = await fleet.addEngine('models');
    const started = await readyInstance();
    fleet.listEngine(first, 'models', { State: 'draining' });
    await until(() => hasLogged(started, 'upstreamDraining'), 'the upstream is draining');
    await Promise.all(Array.from({ length: 6 }, async () => statusOf(started)));
    expect(first.runs).to.have.length(0);
    fleet.store.append('keyed.servers', second.id, undefined);
    await until(() => hasLogged(started, 'upstreamRemoved'), 'the upstream is removed');
    expect(await statusOf(started)).to.equal(503);
  });

  it('skips invalid upstream entries and uses the valid ones', async () => {
    await fleet.addEngine('models');
    ['not json', '{}', '{"Service":"models","Address":7}'].forEach((text, i) => {
      fleet.store.append('keyed.servers', `bad-${i}`, text);
    });
    fleet.listEngine({ ...(await fleet.addEngine('models')), id: 'odd' }, 'models', {
      State: 'odd',
    });
    const started = await readyInstance();
    const unreadable = started.logged.filter(({ event }) => event === 'entryUnreadable');
    expect(unreadable).to.have.length(4);
    expect(await statusOf(started)).to.equal(200);
  });

  // Operators of similar systems: one odd entry ended all processes that read the list.
  it('goes on with the sound upstreams whatever numbers another writer puts into an entry', async () => {
    const engine = await fleet.addEngine('models');
    const odd = [
      { Address: '127.0.0.1:99999' },
      { Address: '127.0.0.1:0' },
      { Address: '999.1.2.3:80' },
      { Seq: 1e300 },
      { Seq: 1.5 },
      { Seq: -1 },
      { born: 1e300 },
      { born: -5 },
      { born: 0.5 },
      { Slots: 1e300 },
      { Slots: -1 },
    ];
    odd.forEach((changes, i) => fleet.listEngine({ ...engine, id: `odd-${i}` }, 'models', changes));
    const nested = `${'['.repeat(200_000)}${']'.repeat(200_000)}`;
    fleet.store.append('keyed.servers', 'nested', nested);
    const started = await readyInstance();
    const unreadable = started.logged.filter(({ event }) => event === 'entryUnreadable');
    expect(unreadable).to.have.length(odd.length + 1);
    expect([...started.instance.routing().state.upstreams.byId.keys()]).to.deep.equal([engine.id]);
    expect(await statusOf(started)).to.equal(200);
  });

  it('goes on to follow an upstream after an entry under its id with a sequence far ahead', async () => {
    const engine = await fleet.addEngine('models');
    const started = await readyInstance();
    fleet.listEngine(engine, 'models', { Seq: 9e15 });
    await until(() => hasLogged(started, 'entryUnreadable'), 'the odd entry is read');
    fleet.listEngine(engine, 'models', { State: 'draining' });
    await until(() => hasLogged(started, 'upstreamDraining'), 'the upstream is draining');
  });

  it('does not execute a request at an address that was reassigned to another upstream', async () => {
    const engine = await fleet.addEngine('models');
    fleet.listEngine({ ...engine, id: 'i-gone' }, 'models');
    fleet.store.append('keyed.servers', engine.id, undefined);
    const started = await readyInstance();
    expect(await statusOf(started)).to.equal(503);
    expect(engine.runs).to.have.length(0);
  });

  it('discovers peer instances and reports its running requests to them', async () => {
    const engine = await fleet.addEngine('models', { events: 400, eventGapMs: 5 });
    const first = await readyInstance();
    const second = await readyInstance();
    const hasAlivePeer = (started: StartedInstance) =>
      [...started.instance.routing().state.exchange.peers.values()].some((peer) => peer.isAlive);
    await until(
      () => hasAlivePeer(first) && hasAlivePeer(second),
      'the instances have exchanged messages',
    );
    const abort = new AbortController();
    const responsePromise = call(first, '/draft/1', { signal: abort.signal }).catch(
      () => undefined,
    );
    await until(() => engine.runs.length === 1, 'a request runs');
    const peer = () => [...second.instance.routing().state.exchange.peers.values()][0];
    const reportedRunning = () => [...(peer()?.summary?.work.values() ?? [])][0]?.running;
    await until(() => reportedRunning() === 1, 'the peer has the number of running requests');
    abort.abort();
    await responsePromise;
    await until(() => reportedRunning() === undefined, 'the peer no longer counts the request');
  });

  it('on stop, rejects new requests and exits once the running streams are complete', async () => {
    await fleet.addEngine('models', { events: 200, eventGapMs: 10 });
    const started = await readyInstance({ stopGraceMs: 20_000, stopAcceptMs: 100 });
    const running = call(started, '/draft/1');
    await until(
      () => started.instance.routing().state.requests.open.size === 1,
      'the request is running',
    );
    const stopped = started.instance.stop();
    await until(() => hasLogged(started, 'notReady'), 'the instance is not ready');
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    const late = await call(started, '/draft/2');
    expect(late.status).to.equal(503);
    expect(late.headers.connection).to.equal('close');
    const { status, text } = await running;
    expect(status).to.equal(200);
    expect(text.match(/id: /g)).to.have.length(200);
    await stopped;
  });

  it('on stop, cuts no request that it has taken late, however long its stream', async () => {
    const engine = await fleet.addEngine('models', { events: 60, eventGapMs: 20 });
    const started = await readyInstance({ stopGraceMs: 2_000, stopAcceptMs: 1_500 });
    expect((await call(started, '/draft/0')).status).to.equal(200);
    const stopped = started.instance.stop();
    await until(() => hasLogged(started, 'notReady'), 'the instance is not ready');
    await new Promise((resolve) => {
      setTimeout(resolve, 900);
    });
    const late = await call(started, '/draft/1').then(
      ({ status, text }) => ({ status, text }),
      (err: unknown) => ({ status: 0, text: String(err) }),
    );
    await stopped;
    // Refused as not run, rather than cut after it was passed on.
    expect(late.status, late.text).to.equal(503);
    expect(engine.runs).to.have.lengthOf(1);
  });

  it('serves readiness and metrics', async () => {
    await fleet.addEngine('models');
    const started = await readyInstance();
    await statusOf(started);
    const { readiness, operators } = started.addresses;
    const ready = await request(`http://${readiness}/ready`);
    await ready.body.dump();
    expect(ready.statusCode).to.equal(200);
    const metrics = await (await request(`http://${operators}/metrics`)).body.text();
    expect(metrics).to.include('primroseswitch_decisions_total{event="served"} 1');
    expect(metrics).to.include('primroseswitch_configuration_version 1');
    expect(metrics).to.include('primroseswitch_configuration_behind_ms 0');
    expect(metrics).to.match(/primroseswitch_list_age_ms \d/);
  });
});

describe('settings template', () => {
  it('renders valid settings', async () => {
    const text = await fillTemplate({
      NodeName: 'front-iasi-a-1',
      Zone: 'iasi-a',
      Region: 'moldova-ro',
      Ip: '10.1.0.33',
      'Listen.Front': '10.1.0.33:8783',
      'Listen.Ready': '10.1.0.33:8780',
      'PortRange.0': '7400',
      'PortRange.1': '7401',
      'Provider.Address': '10.200.1.7:8781',
    });
    const result = parseSettings(text);
    expect(result.kind === 'invalid' ? result.diagnostics : []).to.deep.equal([]);
    expect(result).to.nested.include({
      'settings.routing.tuning.revokeMs': 5_000,
      'settings.routing.tuning.stopGraceMs': 8_000,
      'settings.routing.regions.iasi-a': 'moldova-ro',
    });
  });
});
