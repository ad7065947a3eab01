import { copyFile, mkdtemp, rm } from 'node:fs/promises';
import {
  createConnection,
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { CoreEvent } from '../../src/core/types.js';
import { createCertificateSource, type CertificateSource } from '../../src/hosts/certificates.js';
import { createPeerHost, type LinkClass, type PeerHostOptions } from '../../src/hosts/peerHost.js';
import type { PeerHost } from '../../src/hosts/types.js';

const FIXTURES = join(process.cwd(), 'test', 'fixtures', 'tls');
const SHORT_LIMITS = { pingIntervalMs: 20, pingTimeoutMs: 60, minBackoffMs: 10, maxBackoffMs: 40 };

interface TestInstance {
  readonly host: PeerHost;
  readonly address: string;
  readonly events: CoreEvent[];
}

/** Sender and id of each test message that was received, as `sender:id`. */
const receivedMessages = (instance: TestInstance): string[] =>
  instance.events.flatMap((event) =>
    event.kind === 'peerMessage' && event.message.$case === 'grantReturn'
      ? event.message.value.grantIds.map((id) => `${event.from}:${id}`)
      : [],
  );

const createMessage = (id: number) =>
  ({ $case: 'grantReturn', value: { grantIds: [id] } }) as const;

async function waitUntil(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await sleep(5);
  await waitUntil(condition);
}

const loadCertificates = async (name: string): Promise<CertificateSource> =>
  createCertificateSource({
    files: {
      certificate: join(FIXTURES, `${name}.crt`),
      key: join(FIXTURES, `${name}.key`),
      authorities: join(FIXTURES, name === 'stranger' ? 'other-ca.crt' : 'ca.crt'),
    },
  });

describe('peer host', () => {
  const instances: TestInstance[] = [];
  const servers: Server[] = [];

  async function startInstance(
    id: string,
    options: Partial<PeerHostOptions> = {},
  ): Promise<TestInstance> {
    const events: CoreEvent[] = [];
    const host = createPeerHost({
      self: { id, incarnation: 1 },
      post: (event) => events.push(event),
      host: '127.0.0.1',
      port: 0,
      classifyLink: () => 'sameDomain',
      limits: SHORT_LIMITS,
      ...options,
    });
    const instance = { host, address: await host.listen(), events };
    instances.push(instance);
    return instance;
  }

  afterEach(async () => {
    await Promise.all(instances.splice(0).map(async ({ host }) => host.close()));
    servers.splice(0).forEach((server) => server.close());
  });

  it('delivers messages between three instances in order', async () => {
    const all = await Promise.all(['a', 'b', 'c'].map(async (id) => startInstance(id)));
    const ids = ['a', 'b', 'c'];
    all.forEach((from, i) => {
      all.forEach((to, j) => {
        if (i === j) return;
        [1, 2, 3].forEach((n) => from.host.send(ids[j] ?? '', to.address, createMessage(n)));
      });
    });
    await waitUntil(() => all.every((instance) => receivedMessages(instance).length === 6));
    all.forEach((instance, i) => {
      ids.forEach((from, j) => {
        if (i === j) return;
        const numbers = receivedMessages(instance).filter((text) => text.startsWith(from));
        expect(numbers).to.deep.equal([1, 2, 3].map((n) => `${from}:${n}`));
      });
    });
  });

  it('counts bytes by the network distance of the link', async () => {
    const classes: Record<string, LinkClass> = { b: 'sameRegion', c: 'crossRegion' };
    const a = await startInstance('a', { classifyLink: (to) => classes[to] ?? 'sameDomain' });
    const c = await startInstance('c');
    a.host.send('c', c.address, createMessage(1));
    await waitUntil(() => receivedMessages(c).length === 1);
    const bytes = a.host.controlBytes();
    expect(bytes.crossRegion).to.be.greaterThan(0);
    expect(bytes).to.include({ sameDomain: 0, sameRegion: 0 });
  });

  it('exchanges no messages without a certificate of the same authority', async () => {
    const a = await startInstance('a', { certificates: await loadCertificates('a') });
    const b = await startInstance('b', { certificates: await loadCertificates('b') });
    const foreignCa = await startInstance('s', {
      certificates: await loadCertificates('stranger'),
    });
    const withoutTls = await startInstance('n');
    foreignCa.host.send('a', a.address, createMessage(1));
    withoutTls.host.send('a', a.address, createMessage(2));
    a.host.send('s', foreignCa.address, createMessage(3));
    a.host.send('n', withoutTls.address, createMessage(4));
    const hasFailed = (instance: TestInstance) =>
      instance.events.some(({ kind }) => kind === 'peerUnreachable');
    await waitUntil(() => [foreignCa, withoutTls, a].every(hasFailed));
    b.host.send('a', a.address, createMessage(5));
    await waitUntil(() => receivedMessages(a).length > 0);
    expect(receivedMessages(a)).to.deep.equal(['b:5']);
    expect([...receivedMessages(foreignCa), ...receivedMessages(withoutTls)]).to.deep.equal([]);
  });

  it('uses a new certificate without a restart', async () => {
    const dir = await mkdtemp(join(tmpdir(), 'primroseswitch-'));
    const install = async (name: string, authority: string) => {
      await copyFile(join(FIXTURES, `${name}.crt`), join(dir, 'crt'));
      await copyFile(join(FIXTURES, `${name}.key`), join(dir, 'key'));
      await copyFile(join(FIXTURES, authority), join(dir, 'ca'));
    };
    await install('stranger', 'other-ca.crt');
    const files = {
      certificate: join(dir, 'crt'),
      key: join(dir, 'key'),
      authorities: join(dir, 'ca'),
    };
    const certificates = await createCertificateSource({ files, checkIntervalMs: 10 });
    const a = await startInstance('a', { certificates });
    const b = await startInstance('b', { certificates: await loadCertificates('b') });
    b.host.send('a', a.address, createMessage(1));
    await waitUntil(() => b.events.some(({ kind }) => kind === 'peerUnreachable'));
    await install('a', 'ca.crt');
    await waitUntil(() => receivedMessages(a).length > 0);
    a.host.send('b', b.address, createMessage(2));
    await waitUntil(() => receivedMessages(b).length > 0);
    certificates.close();
    await rm(dir, { recursive: true });
  });

  it('opens a new connection when the current one stops delivering', async () => {
    const b = await startInstance('b');
    const target = Number(b.address.split(':')[1]);
    let isSilent = false;
    const forward = (from: Socket) => {
      const isDropped = isSilent;
      const to = createConnection(target, '127.0.0.1');
      from.on('data', (bytes) => !isDropped && !isSilent && to.write(bytes));
      to.on('data', (bytes) => !isDropped && !isSilent && from.write(bytes));
      [from, to].forEach((socket) => socket.on('error', () => {}));
      from.on('close', () => to.destroy());
    };
    const proxy = createServer(forward).listen(0, '127.0.0.1');
    servers.push(proxy);
    await waitUntil(() => proxy.listening);
    const address = `127.0.0.1:${(proxy.address() as AddressInfo).port}`;
    const a = await startInstance('a');
    a.host.send('b', address, createMessage(1));
    await waitUntil(() => receivedMessages(b).length === 1);
    isSilent = true;
    await waitUntil(() => a.events.some(({ kind }) => kind === 'peerUnreachable'));
    isSilent = false;
    a.host.send('b', address, createMessage(2));
    await waitUntil(() => receivedMessages(b).includes('a:2'));
  });

  it('keeps the newest messages for an instance that is unreachable', async () => {
    const a = await startInstance('a', { limits: { ...SHORT_LIMITS, maxQueued: 3 } });
    const b = await startInstance('b');
    const { address } = b;
    await b.host.close();
    [1, 2].forEach((n) => a.host.send('b', address, createMessage(n)));
    await waitUntil(() => a.events.some(({ kind }) => kind === 'peerUnreachable'));
    [3, 4, 5, 6, 7].forEach((n) => a.host.send('b', address, createMessage(n)));
    const port = Number(address.split(':')[1]);
    const restarted = await startInstance('b', { port });
    await waitUntil(() => receivedMessages(restarted).length >= 3);
    expect(receivedMessages(restarted).slice(-3)).to.deep.equal(['a:5', 'a:6', 'a:7']);
  });
});
