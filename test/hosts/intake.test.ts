import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { createFrontHost, type FrontHost } from '../../src/hosts/routing/frontHost.js';
import { createByteBudget } from '../../src/routing/load/byteBudget.js';
import { createUpstreamPools } from '../../src/hosts/routing/upstreamPools.js';
import type { RequestProtocol } from '../../src/hosts/routing/types.js';

/** Uses the path as the request id and the header `Key` as the caller's key. */
const PROTOCOL: RequestProtocol = {
  parseRequestHead: ({ path, rawHeaders }) => {
    const key = rawHeaders[rawHeaders.indexOf('Key') + 1];
    return {
      kind: 'facts',
      facts: {
        requestId: path,
        host: 'orchard.example',
        ...(key === undefined ? {} : { key }),
        promptTokens: 0,
        outputTokens: 0,
        prefix: [],
        model: '',
      },
    };
  },
  upstreamHeaders: () => [],
  parseResponseHead: () => ({ isNotExecuted: false, isGenuine: true, statements: {} }),
  localResponseHeaders: () => ({}),
};

const NOOP_METER = { count: () => {}, recordWait: () => {} };
const requestText = (path: string, key: string) =>
  `GET ${path} HTTP/1.1\r\nHost: orchard.example\r\nKey: ${key}\r\n\r\n`;

/** Starts a front host that rejects each request and records the order of admission. */
async function startFront() {
  const admitted: { readonly path: string; readonly key: string | undefined }[] = [];
  const host: FrontHost = createFrontHost({
    post: (event) => {
      if (event.kind !== 'requestArrived') return;
      const { request, path, key } = event.facts;
      admitted.push({ path, key });
      host.sendLocalResponse({ request, status: 503, reason: 'overload' });
    },
    host: '127.0.0.1',
    port: 0,
    protocol: PROTOCOL,
    pools: createUpstreamPools(),
    buffers: createByteBudget(1_000_000),
    now: () => performance.now(),
    meter: NOOP_METER,
    onMalformed: () => {},
    onResponseFailed: () => {},
  });
  const address = await host.listen();
  return { host, admitted, port: Number(address.split(':').at(-1)) };
}

async function open(port: number): Promise<Socket> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => resolve(socket));
  });
}

// Guards against an event loop turn that handles all requests of keep-alive connections: new
// connections would wait in the accept queue until their callers give up.
describe('caller intake', () => {
  it('admits requests of new connections while keep-alive connections send continuously', async () => {
    const { host, admitted, port } = await startFront();
    const keepAliveSockets = await Promise.all(Array.from({ length: 60 }, async () => open(port)));
    keepAliveSockets.forEach((socket) => {
      const send = () => socket.write(requestText('/kept', 'a'));
      // Sends the next request as soon as the response arrives.
      socket.on('data', send);
      send();
    });
    while (admitted.length < 300) {
      // eslint-disable-next-line no-await-in-loop -- until the keep-alive connections are busy
      await nextTurn();
    }
    const before = admitted.length;
    const newSockets = Array.from({ length: 40 }, () => connect(port, '127.0.0.1'));
    await Promise.all(
      newSockets.map(async (socket) => {
        socket.write(requestText('/new', 'b'));
        await once(socket, 'data');
      }),
    );
    const admittedMeanwhile = admitted.slice(before);
    [...keepAliveSockets, ...newSockets].forEach((socket) => socket.destroy());
    await host.kill();
    expect(admittedMeanwhile.filter(({ path }) => path === '/new')).to.have.length(
      newSockets.length,
    );
    const keepAliveCount = admittedMeanwhile.filter(({ path }) => path === '/kept').length;
    expect(keepAliveCount).to.be.at.most(4 * newSockets.length);
  });
});
