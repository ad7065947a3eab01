import { once } from 'node:events';
import { connect } from 'node:net';
import { expect } from 'chai';
import { createFrontHost, type FrontHost } from '../../src/hosts/routing/frontHost.js';
import type { RequestProtocol } from '../../src/hosts/routing/types.js';
import { createByteBudget } from '../../src/routing/load/byteBudget.js';
import { createUpstreamPools } from '../../src/hosts/routing/upstreamPools.js';

/** Names a header that cannot be sent in answers that say when to come back. */
const PROTOCOL: RequestProtocol = {
  parseRequestHead: ({ path }) => ({
    kind: 'facts',
    facts: {
      requestId: path,
      host: 'orchard.example',
      promptTokens: 0,
      outputTokens: 0,
      prefix: [],
      model: '',
    },
  }),
  upstreamHeaders: () => [],
  parseResponseHead: () => ({ isNotExecuted: false, isGenuine: true, statements: {} }),
  localResponseHeaders: ({ retryAfterMs }): Record<string, string> =>
    retryAfterMs === undefined ? {} : { 'Retry-After': '\u0001' },
};

describe('an answer that cannot be written', () => {
  let host: FrontHost;

  afterEach(async () => host.kill());

  // The core has ended the request by then, so that nothing else would answer its caller (review/3).
  it('is replaced by an internal error, and is told with the id of the request', async () => {
    const failed: string[] = [];
    host = createFrontHost({
      post: (event) => {
        if (event.kind !== 'requestArrived') return;
        const { request } = event.facts;
        host.sendLocalResponse({ request, status: 503, reason: 'overload', retryAfterMs: 100 });
      },
      host: '127.0.0.1',
      port: 0,
      protocol: PROTOCOL,
      pools: createUpstreamPools(),
      buffers: createByteBudget(1_000_000),
      now: () => performance.now(),
      meter: { count: () => {}, recordWait: () => {} },
      onMalformed: () => {},
      onResponseFailed: (requestId, err) => failed.push(`${requestId} ${String(err)}`),
    });
    const [ip, port] = (await host.listen()).split(':');
    const socket = connect(Number(port), ip);
    socket.write('GET /a HTTP/1.1\r\nHost: orchard.example\r\n\r\n');
    const [bytes] = (await once(socket, 'data')) as [Buffer];
    expect(bytes.toString()).to.match(/^HTTP\/1\.1 502 Bad Gateway\r\n/);
    expect(failed).to.have.length(1);
    expect(failed[0]).to.match(/^\/a .*Invalid character/);
    socket.destroy();
  });
});
