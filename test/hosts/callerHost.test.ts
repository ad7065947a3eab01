import { createConnection } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import fc from 'fast-check';
import type { CallerRequestEvent, CoreEvent } from '../../src/core/types.js';
import { createCallerHost, type CallerHostOptions } from '../../src/hosts/callerHost.js';
import type { ProblemBody } from '../../src/hosts/problem.js';
import type { CallerHost } from '../../src/hosts/types.js';

const NOT_EXECUTED = { executed: 'no' } as const;

interface RawResponse {
  readonly status: number;
  readonly head: string;
  readonly body: string;
}

/** Sends bytes on a new connection and reads until it is closed. */
async function sendRaw(address: string, bytes: string | Uint8Array): Promise<RawResponse> {
  const [host = '', port] = address.split(':');
  const socket = createConnection(Number(port), host);
  socket.on('error', () => {});
  socket.end(bytes);
  const parts: Buffer[] = [];
  socket.on('data', (part: Buffer) => parts.push(part));
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  const [head = '', ...rest] = Buffer.concat(parts).toString('latin1').split('\r\n\r\n');
  return { status: Number(head.split(' ')[1] ?? 0), head, body: rest.join('\r\n\r\n') };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await sleep(2);
  await waitUntil(condition);
}

describe('caller host', () => {
  const hosts: CallerHost[] = [];

  async function startHost(options: Partial<CallerHostOptions> = {}) {
    const events: CoreEvent[] = [];
    const host: CallerHost = createCallerHost({
      self: { id: 'a', incarnation: 1 },
      post: (event) => {
        events.push(event);
        if (event.kind === 'callerRequest') setImmediate(() => options.post?.(event));
      },
      host: '127.0.0.1',
      port: 0,
      maxBodyBytes: 10_000,
      ...(options.limits === undefined ? {} : { limits: options.limits }),
      ...(options.stallTimeoutMs === undefined ? {} : { stallTimeoutMs: options.stallTimeoutMs }),
    });
    hosts.push(host);
    return { host, events, address: await host.listen() };
  }

  /** Starts a host that responds to every request with an empty 200. */
  async function startRespondingHost() {
    const started = await startHost({
      post: (event) => {
        const { requestId } = event as CallerRequestEvent;
        started.host.getResponseSink(requestId)?.start({ status: 200, headers: {} });
        started.host.finishResponse(requestId);
      },
    });
    return started;
  }

  afterEach(async () => {
    await Promise.all(hosts.splice(0).map(async (host) => host.kill()));
  });

  const post = async (
    address: string,
    body: string | Uint8Array<ArrayBuffer>,
    headers: Record<string, string> = {},
  ): Promise<Response> =>
    fetch(`http://${address}/v1/chat/completions`, { method: 'POST', body, headers });

  it('refuses bytes that are not an HTTP request as not executed and keeps serving', async () => {
    const { events, address } = await startRespondingHost();
    const method = fc.constantFrom('GET', 'POST', 'PUT', '\u0000', 'gEt', 'CONNECT', 'PRI');
    const path = fc.oneof(fc.string(), fc.constantFrom('*', '//', '/%', 'http://[', '/apps/%zz/x'));
    const version = fc.constantFrom('HTTP/1.1', 'HTTP/1.0', 'HTTP/9', '');
    const line = fc.tuple(method, path, version).map((parts) => parts.join(' '));
    const header = fc.oneof(
      fc.string(),
      fc.constantFrom('content-length: -1', 'content-length: 9', 'transfer-encoding: x', 'host:'),
    );
    const request = fc
      .tuple(line, fc.array(header, { maxLength: 4 }), fc.string())
      .map(([first, headers, body]) => `${[first, ...headers].join('\r\n')}\r\n\r\n${body}`);
    const bytes = fc.oneof(fc.uint8Array({ maxLength: 200 }), request);
    await fc.assert(
      fc.asyncProperty(bytes, async (sent) => {
        const { status, head, body } = await sendRaw(address, sent);
        if (status === 0) return;
        expect(status).to.be.within(200, 499);
        if (status < 400 || body === '') return;
        expect(head.toLowerCase()).to.include('application/problem+json');
        expect(JSON.parse(body)).to.include(NOT_EXECUTED);
      }),
      { seed: 11, numRuns: 300 },
    );
    expect((await post(address, '{"model":"chat"}')).status).to.equal(200);
    const count = (kind: string) => events.filter((event) => event.kind === kind).length;
    expect(count('callerGone')).to.be.at.most(count('callerRequest'));
  });

  it('refuses malformed percent escapes as not executed, and not in the words of the framework', async () => {
    const { address } = await startRespondingHost();
    const paths = ['/%', '/apps/%zz/x', '/apps/%E0%A4%A/x', '/v1/%'];
    const responses = await Promise.all(
      paths.map(async (path) => sendRaw(address, `GET ${path} HTTP/1.0\r\n\r\n`)),
    );
    responses.forEach(({ status, head, body }) => {
      expect(status).to.equal(404);
      expect(head.toLowerCase()).to.include('application/problem+json');
      expect(JSON.parse(body)).to.include(NOT_EXECUTED);
    });
  });

  it('passes a malformed percent escape in the path of a service on unchanged', async () => {
    const { address, events } = await startRespondingHost();
    const { status } = await sendRaw(address, 'GET /apps/desk/a%zz?b=% HTTP/1.0\r\n\r\n');
    expect(status).to.equal(200);
    expect(events.filter(({ kind }) => kind === 'callerRequest')).to.have.lengthOf(1);
  });

  it('refuses bodies that are not a completion request as not executed', async () => {
    const { events, address } = await startRespondingHost();
    const broken = fc.oneof(
      fc.uint8Array({ minLength: 1, maxLength: 50 }),
      fc.json().map((text) => new TextEncoder().encode(text)),
      fc
        .record({
          model: fc.constantFrom('', 1, null),
          messages: fc.constantFrom([], 'x', [1], [{ content: 5 }]),
        })
        .map((value) => new TextEncoder().encode(JSON.stringify(value))),
    );
    await fc.assert(
      fc.asyncProperty(broken, async (body) => {
        const res = await post(address, new Uint8Array(body));
        expect(res.status).to.equal(400);
        expect(res.headers.get('content-type')).to.equal('application/problem+json');
        expect(await res.json()).to.include({ ...NOT_EXECUTED, step: 'receive' });
      }),
      { seed: 12, numRuns: 200 },
    );
    expect(events).to.deep.equal([]);
  });

  it('refuses a body over the limit with and without a content-length header', async () => {
    const { events, address } = await startHost();
    const withLength = await post(address, 'x'.repeat(20_000));
    expect(withLength.status).to.equal(413);
    const chunks = new Blob(['x'.repeat(20_000)]).stream();
    const init = { method: 'POST', body: chunks, duplex: 'half' } as RequestInit;
    const withoutLength = await fetch(`http://${address}/v1/completions`, init);
    expect(withoutLength.status).to.equal(413);
    expect(await withoutLength.json()).to.include(NOT_EXECUTED);
    expect(events).to.deep.equal([]);
  });

  it('refuses headers over the limit', async () => {
    const { address } = await startHost({ limits: { maxHeaderBytes: 1_000 } });
    const { status, body } = await sendRaw(
      address,
      `GET / HTTP/1.1\r\na: ${'x'.repeat(5_000)}\r\n`,
    );
    expect(status).to.equal(431);
    expect(JSON.parse(body)).to.include(NOT_EXECUTED);
  });

  it('responds with 408 when the headers arrive too slowly', async () => {
    const { address } = await startHost({
      limits: { headersTimeoutMs: 50, requestTimeoutMs: 100 },
    });
    const [host = '', port] = address.split(':');
    const socket = createConnection(Number(port), host);
    socket.on('error', () => {});
    const timer = setInterval(() => socket.write('x'), 20);
    socket.write('GET / HTTP/1.1\r\n');
    let received = '';
    socket.on('data', (part: Buffer) => {
      received += part.toString();
    });
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    clearInterval(timer);
    expect(received).to.match(/^HTTP\/1\.1 408 /);
  });

  it('reports the disconnect of a caller that waits for a response', async () => {
    const { events, address } = await startHost();
    const abort = new AbortController();
    const body = '{"model":"chat"}';
    const responsePromise = fetch(`http://${address}/v1/completions`, {
      method: 'POST',
      body,
      signal: abort.signal,
    }).catch(() => undefined);
    await waitUntil(() => events.length === 1);
    abort.abort();
    await responsePromise;
    await waitUntil(() => events.length === 2);
    const [first, second] = events as [CallerRequestEvent, CoreEvent];
    expect(second).to.deep.equal({ kind: 'callerGone', requestId: first.requestId });
  });

  it('disconnects a caller that does not read its response', async () => {
    const { host, events, address } = await startHost({ stallTimeoutMs: 30 });
    const [ip = '', port] = address.split(':');
    const socket = createConnection(Number(port), ip);
    socket.pause();
    socket.on('error', () => {});
    socket.write(
      'POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 16\r\n\r\n{"model":"chat"}',
    );
    await waitUntil(() => events.length === 1);
    const [request] = events as [CallerRequestEvent];
    const sink = host.getResponseSink(request.requestId);
    sink?.start({ status: 200, headers: {} });
    const part = new Uint8Array(1024 * 1024);
    const fill = async (): Promise<void> => {
      await sink?.write(part);
      await fill();
    };
    const ending = await fill().catch((err: Error) => err.message);
    expect(ending).to.equal('The caller has disconnected.');
    await waitUntil(() => events.some(({ kind }) => kind === 'callerGone'));
    socket.destroy();
  });

  it('closes even if a caller neither completes its request nor disconnects', async () => {
    const { host, address } = await startHost({ stallTimeoutMs: 30 });
    const [ip = '', port] = address.split(':');
    const socket = createConnection(Number(port), ip);
    socket.on('error', () => {});
    socket.write('POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{');
    await sleep(20);
    await host.close();
    socket.destroy();
  });

  it('hashes the key and does not forward credentials', async () => {
    const { host, events, address } = await startHost();
    const headers = {
      authorization: 'Bearer secret',
      'x-idempotent': 'true',
      'x-cost-hint': '7.5',
    };
    void post(address, '{"model":"chat"}', headers).catch(() => {});
    await waitUntil(() => events.length === 1);
    const [event] = events as [CallerRequestEvent];
    expect(event).to.include({ idempotent: true, costHint: 7.5, pool: 'chat' });
    expect(event.keyHash).to.match(/^[0-9a-f]{64}$/);
    expect(JSON.stringify([event, host.getRequest(event.requestId)])).to.not.include('secret');
  });

  it('ends a failed stream with an error event and an incomplete body', async () => {
    const { host, events, address } = await startHost();
    const responsePromise = post(address, '{"model":"chat","stream":true}');
    await waitUntil(() => events.length === 1);
    const [{ requestId }] = events as [CallerRequestEvent];
    const sink = host.getResponseSink(requestId);
    sink?.start({ status: 200, headers: { 'content-type': 'text/event-stream' } });
    void sink?.write(Buffer.from('data: {}\n\n'));
    host.fail(requestId, {
      code: 'answerCut',
      status: 502,
      executed: 'yes',
      step: 'stream',
      peer: { kind: 'upstream', id: 'e1' },
    });
    const res = await responsePromise;
    let text = '';
    const readAll = async () => {
      const decoder = new TextDecoder();
      for await (const part of res.body ?? []) text += decoder.decode(part as Uint8Array);
    };
    const ending = await readAll().then(
      () => 'whole',
      () => 'broken',
    );
    expect(ending).to.equal('broken');
    expect(text).to.match(/^data: \{\}\n\nevent: error\ndata: .*"executed":"yes"/);
    const data = /event: error\ndata: (.*)\n/.exec(text)?.[1] ?? '';
    expect((JSON.parse(data) as ProblemBody).peer).to.deep.equal({ kind: 'upstream', id: 'e1' });
  });
});
