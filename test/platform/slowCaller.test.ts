import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import {
  firstSocket,
  signedHead,
  startRawUpstream,
  type RawUpstream,
} from '../support/rawUpstream.js';
import {
  addReadyInstance,
  call,
  createPlatformFleet,
  hasLogged,
  HOST,
  KEY,
  until,
  type PlatformFleet,
  type StartedInstance,
} from './support/fleet.js';

/** More than the buffers of all connections on the way hold. */
const BODY = Buffer.alloc(24 * 1024 * 1024, 'x');

type ConnectionEnd = 'reset' | 'closed';

// The client library asserts that it is not paused when a connection ends: an upstream that broke an answer
// without a length off, while its caller was slow, would end the process.
describe('an answer without a length to a caller that does not read', () => {
  let fleet: PlatformFleet;
  let upstream: RawUpstream;
  let started: StartedInstance;
  let socket: Socket;

  beforeEach(async () => {
    fleet = await createPlatformFleet();
    fleet.configure(1);
  });
  afterEach(async () => {
    socket.destroy();
    await upstream.close();
    await fleet.close();
  });

  async function startAnswer(bytes: Buffer): Promise<Socket> {
    upstream = await startRawUpstream((exchange) => {
      exchange.socket.write(signedHead(exchange.requestId));
      exchange.socket.write(bytes);
    });
    fleet.listAddress(upstream.address, 'desk');
    started = await addReadyInstance(fleet);
    const [host, port] = started.addresses.callers.split(':');
    socket = connect(Number(port), host);
    socket.on('error', () => undefined);
    socket.pause();
    socket.write(
      `POST /book/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: r\r\nDeadline-Ms: 3000\r\n` +
        `Authorization: Token ${KEY}\r\nContent-Length: 0\r\n\r\n`,
    );
    await until(() => upstream.exchanges.length === 1, 'the request has arrived');
    await sleep(300);
    return firstSocket(upstream);
  }

  (['reset', 'closed'] as const).forEach((end: ConnectionEnd) =>
    [200_000, 6_000_000, BODY.length].forEach((bytes) =>
      it(`of ${bytes} bytes is ${end} by its upstream, and ends nothing else`, async () => {
        const upstreamSocket = await startAnswer(BODY.subarray(0, bytes));
        if (end === 'reset') upstreamSocket.resetAndDestroy();
        else upstreamSocket.end();
        await sleep(100);
        let received = 0;
        let isClosed = false;
        socket.on('data', (chunk) => {
          received += chunk.length;
        });
        socket.on('close', () => {
          isClosed = true;
        });
        socket.resume();
        const { requests } = started.instance.routing().state;
        await until(
          () => requests.open.size + requests.attempts.size === 0,
          'the request has ended',
        );
        if (end === 'reset')
          await until(() => isClosed, 'the caller does not take it for complete');
        expect((await call(started, '/none/1')).status).to.equal(404);
        expect(hasLogged(started, 'connectionFaulty')).to.equal(false);
        if (end === 'closed')
          await until(() => received > bytes, 'the caller has the whole answer');
        expect(received).to.be.at.most(bytes * 1.1 + 10_000);
      }),
    ),
  );
});
