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
const FAST = { pingIntervalMs: 20, pingTimeoutMs: 60, minBackoffMs: 10, maxBackoffMs: 40 };

interface Node {
  readonly host: PeerHost;
  readonly address: string;
  readonly events: CoreEvent[];
}

/** Text of all pings to be told apart: the sender and a nonce. */
const received = (node: Node): string[] =>
  node.events.flatMap((event) =>
    event.kind === 'peerMessage' && event.message.$case === 'grantReturn'
      ? event.message.value.grantIds.map((id) => `${event.from}:${id}`)
      : [],
  );

const message = (id: number) => ({ $case: 'grantReturn', value: { grantIds: [id] } }) as const;

async function until(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await sleep(5);
  await until(condition);
}

const certificatesOf = async (name: string): Promise<CertificateSource> =>
  createCertificateSource({
    files: {
      certificate: join(FIXTURES, `${name}.crt`),
      key: join(FIXTURES, `${name}.key`),
      authorities: join(FIXTURES, name === 'stranger' ? 'other-ca.crt' : 'ca.crt'),
    },
  });

describe('peer host', () => {
  const nodes: Node[] = [];
  const servers: Server[] = [];

  async function startNode(id: string, options: Partial<PeerHostOptions> = {}): Promise<Node> {
    const events: CoreEvent[] = [];
    const host = createPeerHost({
      self: { id, incarnation: 1 },
      post: (event) => events.push(event),
      host: '127.0.0.1',
      port: 0,
      linkClassOf: () => 'sameDomain',
      limits: FAST,
      ...options,
    });
    const node = { host, address: await host.listen(), events };
    nodes.push(node);
    return node;
  }

  afterEach(async () => {
    await Promise.all(nodes.splice(0).map(async ({ host }) => host.close()));
    servers.splice(0).forEach((server) => server.close());
  });

  it('carries messages among three instances in order', async () => {
    const all = await Promise.all(['a', 'b', 'c'].map(async (id) => startNode(id)));
    const ids = ['a', 'b', 'c'];
    all.forEach((from, i) => {
      all.forEach((to, j) => {
        if (i === j) return;
        [1, 2, 3].forEach((n) => from.host.send(ids[j] ?? '', to.address, message(n)));
      });
    });
    await until(() => all.every((node) => received(node).length === 6));
    all.forEach((node, i) => {
      ids.forEach((from, j) => {
        if (i === j) return;
        const numbers = received(node).filter((text) => text.startsWith(from));
        expect(numbers).to.deep.equal([1, 2, 3].map((n) => `${from}:${n}`));
      });
    });
  });

  it('counts bytes by how far the link reaches', async () => {
    const classes: Record<string, LinkClass> = { b: 'sameRegion', c: 'crossRegion' };
    const a = await startNode('a', { linkClassOf: (to) => classes[to] ?? 'sameDomain' });
    const c = await startNode('c');
    a.host.send('c', c.address, message(1));
    await until(() => received(c).length === 1);
    const bytes = a.host.controlBytes();
    expect(bytes.crossRegion).to.be.greaterThan(0);
    expect(bytes).to.include({ sameDomain: 0, sameRegion: 0 });
  });

  it('exchanges nothing with an instance that has another authority', async () => {
    const a = await startNode('a', { certificates: await certificatesOf('a') });
    const b = await startNode('b', { certificates: await certificatesOf('b') });
    const stranger = await startNode('s', { certificates: await certificatesOf('stranger') });
    const bare = await startNode('n');
    stranger.host.send('a', a.address, message(1));
    bare.host.send('a', a.address, message(2));
    a.host.send('s', stranger.address, message(3));
    a.host.send('n', bare.address, message(4));
    const hasFailed = (node: Node) => node.events.some(({ kind }) => kind === 'peerUnreachable');
    await until(() => [stranger, bare, a].every(hasFailed));
    b.host.send('a', a.address, message(5));
    await until(() => received(a).length > 0);
    expect(received(a)).to.deep.equal(['b:5']);
    expect([...received(stranger), ...received(bare)]).to.deep.equal([]);
  });

  it('takes a new certificate into use without a restart', async () => {
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
    const a = await startNode('a', { certificates });
    const b = await startNode('b', { certificates: await certificatesOf('b') });
    b.host.send('a', a.address, message(1));
    await until(() => b.events.some(({ kind }) => kind === 'peerUnreachable'));
    await install('a', 'ca.crt');
    await until(() => received(a).length > 0);
    a.host.send('b', b.address, message(2));
    await until(() => received(b).length > 0);
    certificates.close();
    await rm(dir, { recursive: true });
  });

  it('opens a new connection when one falls silent', async () => {
    const b = await startNode('b');
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
    await until(() => proxy.listening);
    const address = `127.0.0.1:${(proxy.address() as AddressInfo).port}`;
    const a = await startNode('a');
    a.host.send('b', address, message(1));
    await until(() => received(b).length === 1);
    isSilent = true;
    await until(() => a.events.some(({ kind }) => kind === 'peerUnreachable'));
    isSilent = false;
    a.host.send('b', address, message(2));
    await until(() => received(b).includes('a:2'));
  });

  it('keeps the newest messages of an instance that cannot be reached', async () => {
    const a = await startNode('a', { limits: { ...FAST, maxQueued: 3 } });
    const b = await startNode('b');
    const { address } = b;
    await b.host.close();
    [1, 2].forEach((n) => a.host.send('b', address, message(n)));
    await until(() => a.events.some(({ kind }) => kind === 'peerUnreachable'));
    [3, 4, 5, 6, 7].forEach((n) => a.host.send('b', address, message(n)));
    const port = Number(address.split(':')[1]);
    const reborn = await startNode('b', { port });
    await until(() => received(reborn).length >= 3);
    expect(received(reborn).slice(-3)).to.deep.equal(['a:5', 'a:6', 'a:7']);
  });
});
