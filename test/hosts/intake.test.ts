import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { createFrontHost, type FrontHost } from '../../src/hosts/routing/frontHost.js';
import { createUpstreamPools } from '../../src/hosts/routing/upstreamPools.js';
import type { RequestProtocol } from '../../src/hosts/routing/types.js';

/** Knows requests by their path and takes the header `key` for the caller's key. */
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
  parseResponseHead: () => ({ isNotExecuted: false, isGenuine: true }),
  localResponseHeaders: () => ({}),
};

const EMPTY_METER = { count: () => {}, noteAge: () => {} };
const requestText = (path: string, key: string) =>
  `GET ${path} HTTP/1.1\r\nHost: orchard.example\r\nKey: ${key}\r\n\r\n`;

/** A front host that refuses each request, in the order in which it decides. */
async function startFront() {
  const decided: { readonly path: string; readonly key: string | undefined }[] = [];
  const host: FrontHost = createFrontHost({
    post: (event) => {
      if (event.kind !== 'requestArrived') return;
      const { request, path, key } = event.facts;
      decided.push({ path, key });
      host.answer({ request, status: 503, reason: 'overload' });
    },
    host: '127.0.0.1',
    port: 0,
    protocol: PROTOCOL,
    pools: createUpstreamPools(),
    now: () => performance.now(),
    meter: EMPTY_METER,
    onMalformed: () => {},
  });
  const address = await host.listen();
  return { host, decided, port: Number(address.split(':').at(-1)) };
}

async function open(port: number): Promise<Socket> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => resolve(socket));
  });
}

describe('intake of callers', () => {
  it('takes new connections while kept ones press', async () => {
    const { host, decided, port } = await startFront();
    const kept = await Promise.all(Array.from({ length: 60 }, async () => open(port)));
    kept.forEach((socket) => {
      const send = () => socket.write(requestText('/kept', 'a'));
      // One request after the other, without a pause.
      socket.on('data', send);
      send();
    });
    while (decided.length < 300) {
      // eslint-disable-next-line no-await-in-loop -- until the kept ones press
      await nextTurn();
    }
    const before = decided.length;
    const fresh = Array.from({ length: 40 }, () => connect(port, '127.0.0.1'));
    await Promise.all(
      fresh.map(async (socket) => {
        socket.write(requestText('/new', 'b'));
        await once(socket, 'data');
      }),
    );
    const meanwhile = decided.slice(before);
    [...kept, ...fresh].forEach((socket) => socket.destroy());
    await host.kill();
    expect(meanwhile.filter(({ path }) => path === '/new')).to.have.length(fresh.length);
    const ofKept = meanwhile.filter(({ path }) => path === '/kept').length;
    expect(ofKept).to.be.at.most(4 * fresh.length);
  });
});
