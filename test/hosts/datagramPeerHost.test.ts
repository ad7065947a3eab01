import { createSocket, type Socket } from 'node:dgram';
import { expect } from 'chai';
import fc from 'fast-check';
import type { PeerMessage } from '../../src/core/types.js';
import {
  createDatagramPeerHost,
  type DatagramPeerHost,
} from '../../src/hosts/routing/datagramPeerHost.js';
import { createBatchJoiner, MAX_DATAGRAM_BYTES, splitBatch } from '../../src/protocol/datagrams.js';
import { RoutingNews } from '../../src/protocol/generated/peer.js';

const SOURCE = '10.0.0.1:7400';
const PARAMETERS = { numRuns: 200, seed: 27 };

function createMessage(parts: number): PeerMessage {
  const readParts = Array.from({ length: parts }, (_, i) => i);
  const empty = RoutingNews.decode(new Uint8Array());
  return { $case: 'routingNews', value: { ...empty, sequence: parts, readParts } };
}

describe('datagrams between instances', () => {
  it('join to the batch that was split, in any order, with duplicates', () => {
    fc.assert(
      fc.property(
        fc.uint8Array({ maxLength: 9_000, size: 'max' }),
        fc.infiniteStream(fc.nat()),
        (bytes, order) => {
          const datagrams = splitBatch(bytes, 7);
          datagrams.forEach(({ length }) => expect(length).to.be.at.most(MAX_DATAGRAM_BYTES));
          const remaining = datagrams.slice(0, -1);
          const shuffled = remaining
            .flatMap((datagram) => [datagram, datagram])
            .map((datagram) => ({ datagram, rank: order.next().value as number }))
            .sort((a, b) => a.rank - b.rank);
          const joiner = createBatchJoiner();
          shuffled.forEach(({ datagram }) =>
            expect(joiner.add(SOURCE, datagram, 0).kind).to.equal('incomplete'),
          );
          const joined = joiner.add(SOURCE, datagrams.at(-1) ?? Buffer.alloc(0), 0);
          expect(joined.kind).to.equal('batch');
          if (joined.kind === 'batch') expect(Buffer.compare(joined.bytes, bytes)).to.equal(0);
          expect(joiner.incompleteCount()).to.equal(0);
        },
      ),
      PARAMETERS,
    );
  });

  it('drop a batch of which a part was lost, and keep no more than one of each source', () => {
    const joiner = createBatchJoiner();
    for (let number = 0; number < 50; number += 1) {
      const [first] = splitBatch(new Uint8Array(5_000), number);
      expect(joiner.add(SOURCE, first ?? Buffer.alloc(0), number).kind).to.equal('incomplete');
      expect(joiner.incompleteCount()).to.equal(1);
    }
    splitBatch(new Uint8Array(5_000).fill(1), 99).forEach((datagram, i, { length }) =>
      expect(joiner.add(SOURCE, datagram, 60).kind).to.equal(
        i === length - 1 ? 'batch' : 'incomplete',
      ),
    );
  });

  it('discard incomplete batches of sources that fell silent', () => {
    const joiner = createBatchJoiner();
    const [first = Buffer.alloc(0)] = splitBatch(new Uint8Array(5_000), 1);
    for (let i = 0; i < 100; i += 1) joiner.add(`10.0.0.${i}:7400`, first, 0);
    expect(joiner.incompleteCount()).to.equal(100);
    joiner.add('10.0.1.1:7400', first, 10_000);
    expect(joiner.incompleteCount()).to.equal(1);
  });

  it('are refused with a reason if the header is no header', () => {
    const joiner = createBatchJoiner();
    const invalid = [Buffer.alloc(3), Buffer.alloc(9), Buffer.from([1, 0, 0, 0, 0, 4, 4, 1])];
    invalid.forEach((datagram) =>
      expect(joiner.add(SOURCE, datagram, 0).kind).to.equal('malformed'),
    );
  });
});

describe('datagram links to other instances', () => {
  const hosts: DatagramPeerHost[] = [];
  let sender: Socket | undefined;
  const received: { readonly from: string; readonly message: PeerMessage }[] = [];
  const defects: string[] = [];
  let notify = () => {};

  async function startHost(id: string) {
    const host = createDatagramPeerHost({
      self: { id, incarnation: 3 },
      host: '127.0.0.1',
      port: 0,
      now: () => performance.now(),
      onMessage: (from, incarnation, message) => {
        expect(incarnation).to.equal(3);
        received.push({ from, message });
        notify();
      },
      onMalformed: (_, reason) => {
        defects.push(reason);
        notify();
      },
      onSendFailed: (_, reason) => {
        defects.push(reason);
        notify();
      },
    });
    hosts.push(host);
    return { host, address: await host.listen() };
  }

  async function waitFor(isDone: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      notify = () => {
        if (isDone()) resolve();
      };
      notify();
    });
  }

  afterEach(async () => {
    await Promise.all(hosts.map(async (host) => host.close()));
    sender?.close();
    sender = undefined;
    hosts.length = 0;
    received.length = 0;
    defects.length = 0;
  });

  it('carry one message to several instances, also one of many datagrams', async () => {
    const a = await startHost('a');
    const b = await startHost('b');
    const c = await startHost('c');
    const messages = [createMessage(1), createMessage(4_000)];
    messages.forEach((message) => {
      [b, c].forEach(({ address }) => a.host.send(address, message));
    });
    await waitFor(() => received.length === 4);
    const sizes = received.map(({ message }) =>
      message.$case === 'routingNews' ? message.value.readParts.length : -1,
    );
    expect([...sizes].sort((x, y) => x - y)).to.deep.equal([1, 1, 4_000, 4_000]);
    expect(received.every(({ from }) => from === 'a')).to.equal(true);
    expect(defects).to.deep.equal([]);
  });

  it('go on after datagrams that are no messages, each reported with a reason', async () => {
    const { host, address } = await startHost('a');
    const other = await startHost('b');
    const port = Number(address.split(':')[1]);
    const socket = createSocket('udp4');
    sender = socket;
    const invalid = [
      Buffer.from('GET / HTTP/1.1'),
      Buffer.from([1, 0, 0, 0, 1, 0, 1, 255, 255, 255]),
      Buffer.from([1, 0, 0, 0, 2, 0, 1]),
    ];
    invalid.forEach((bytes) => socket.send(bytes, port, '127.0.0.1'));
    await waitFor(() => defects.length === invalid.length);
    other.host.send(address, createMessage(2));
    await waitFor(() => received.length === 1);
    expect(host).to.not.equal(undefined);
  });

  it('report a message that is too long instead of sending a part of it', async () => {
    const a = await startHost('a');
    const b = await startHost('b');
    a.host.send(b.address, createMessage(400_000));
    await waitFor(() => defects.length === 1);
    expect(defects[0]).to.match(/too long/u);
  });
});
