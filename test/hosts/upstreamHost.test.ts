import { createServer, type Server, type ServerResponse } from 'node:http';
import { createServer as createTcpServer, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { AttemptOutcome, AttemptPlan, CoreEvent } from '../../src/core/types.js';
import type { ResponseSink, UpstreamHost } from '../../src/hosts/types.js';
import { createUpstreamHost } from '../../src/hosts/upstreamHost.js';

const ATTEMPT = 'attempt-1';
const createEvent = (text: string) =>
  `data: ${JSON.stringify({ id: ATTEMPT, choices: [{ text }] })}\n\n`;
const DONE = 'data: [DONE]\n\n';
const EVENTS = { 'content-type': 'text/event-stream', 'x-request-id': ATTEMPT };

async function waitUntil(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await sleep(2);
  await waitUntil(condition);
}

interface AttemptResult {
  readonly outcome: AttemptOutcome;
  readonly text: string;
  readonly status: number | undefined;
  readonly events: readonly CoreEvent[];
}

describe('upstream host', () => {
  const servers: Server[] = [];
  const hosts: UpstreamHost[] = [];

  afterEach(async () => {
    await Promise.all(hosts.splice(0).map(async (host) => host.close()));
    servers.splice(0).forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  });

  async function startServer(respond: (res: ServerResponse) => void): Promise<string> {
    const server = createServer((req, res) => {
      req.resume();
      if (req.url === '/ask') respond(res);
      else res.end('{}');
    });
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Starts an attempt, on the host of a previous attempt if one is given. */
  function startAttempt(
    url: string,
    plan: Partial<AttemptPlan> = {},
    write?: ResponseSink['write'],
    previous?: { readonly host: UpstreamHost; readonly events: CoreEvent[] },
  ) {
    const events: CoreEvent[] = previous?.events ?? [];
    events.splice(0);
    const forwarded: { text: string; status: number | undefined } = { text: '', status: undefined };
    const host = previous?.host ?? createUpstreamHost({ post: (event) => events.push(event) });
    if (previous === undefined) hosts.push(host);
    const sink: ResponseSink = {
      start: ({ status }) => {
        forwarded.status ??= status;
      },
      write: (chunk): Promise<void> | undefined => {
        forwarded.text += Buffer.from(chunk).toString();
        return write?.(chunk);
      },
    };
    const body = Buffer.from('{}');
    host.dispatch(
      {
        attemptId: ATTEMPT,
        requestId: 'q1',
        upstream: 'e1',
        url,
        pool: 'chat',
        kind: 'model',
        resumeFromToken: 0,
        idleTimeoutMs: 10_000,
        firstByteTimeoutMs: 10_000,
        captureAnswer: false,
        ...plan,
      },
      { method: 'POST', path: '/ask', headers: {}, body },
      sink,
    );
    const waitForEnd = async (): Promise<AttemptResult> => {
      const outcomeOf = () => events.find((event) => event.kind === 'attemptEnded');
      await waitUntil(() => outcomeOf() !== undefined);
      const event = outcomeOf();
      if (event?.kind !== 'attemptEnded') throw new Error('The attempt has not ended.');
      return { outcome: event.outcome, ...forwarded, events };
    };
    return { host, events, forwarded, waitForEnd };
  }

  const runAttempt = async (respond: (res: ServerResponse) => void, plan?: Partial<AttemptPlan>) =>
    startAttempt(await startServer(respond), plan).waitForEnd();

  it('counts tokens and treats a stream with an end marker as complete', async () => {
    const usage = {
      prompt_tokens: 9,
      completion_tokens: 2,
      prompt_tokens_details: { cached_tokens: 4 },
    };
    const { outcome, text, events } = await runAttempt((res) => {
      res.writeHead(200, EVENTS);
      res.end(
        `${createEvent('a')}${createEvent('b')}data: ${JSON.stringify({ id: ATTEMPT, usage })}\n\n${DONE}`,
      );
    });
    expect(outcome).to.deep.equal({
      kind: 'complete',
      status: 200,
      outputTokens: 2,
      promptTokens: 5,
    });
    expect(text.endsWith(DONE)).to.equal(true);
    const progress = events.filter((event) => event.kind === 'attemptProgress');
    expect(progress.reduce((sum, event) => sum + event.outputTokens, 0)).to.equal(2);
  });

  it('forwards only complete events and treats a stream without an end marker as cut', async () => {
    const { outcome, text } = await runAttempt((res) => {
      res.writeHead(200, EVENTS);
      res.end(`${createEvent('a')}${createEvent('b').slice(0, 20)}`);
    });
    expect(outcome.kind).to.equal('cut');
    expect(text).to.equal(createEvent('a'));
  });

  it('treats a reset connection and a short body as cut and forwards no partial body', async () => {
    const reset = await runAttempt((res) => {
      res.writeHead(200, EVENTS);
      res.write(createEvent('a'), () => setTimeout(() => res.socket?.resetAndDestroy(), 20));
    });
    expect(reset.outcome.kind).to.equal('cut');
    const short = await runAttempt((res) => {
      res.writeHead(200, { 'content-length': '100' });
      res.write('{"half', () => res.socket?.end());
    });
    expect(short.outcome.kind).to.equal('cut');
    expect(short.text).to.equal('');
  });

  it('drops the response of another attempt, detected by its header or mid-stream', async () => {
    const head = await runAttempt((res) => {
      res.writeHead(200, { ...EVENTS, 'x-request-id': 'other' });
      res.end(createEvent('a') + DONE);
    });
    expect(head).to.deep.include({ outcome: { kind: 'foreign' }, text: '' });
    const middle = await runAttempt((res) => {
      res.writeHead(200, EVENTS);
      res.write(createEvent('a'));
      setTimeout(() => res.end(createEvent('b').replace(ATTEMPT, 'other') + DONE), 20);
    });
    expect(middle).to.deep.include({ outcome: { kind: 'foreign' }, text: createEvent('a') });
  });

  it('drops the response of another attempt if attempt ids are only in the body', async () => {
    const headers = { 'content-type': 'text/event-stream' };
    let reply = createEvent('a') + DONE;
    const url = await startServer((res) => {
      res.writeHead(200, headers);
      res.end(reply);
    });
    const first = startAttempt(url);
    expect((await first.waitForEnd()).outcome.kind).to.equal('complete');
    reply = reply.replace(ATTEMPT, 'other');
    const second = startAttempt(url, {}, undefined, first);
    const { outcome, text } = await second.waitForEnd();
    expect([outcome.kind, text]).to.deep.equal(['foreign', '']);
  });

  const errorResponses: readonly (readonly [number, string, AttemptOutcome['kind']])[] = [
    [429, '', 'declined'],
    [503, '{"executed":"no"}', 'declined'],
    [503, '', 'upstreamError'],
    [500, '{"executed":"no"}', 'upstreamError'],
  ];
  errorResponses.forEach(([status, body, kind]) => {
    it(`treats ${status} '${body}' as ${kind} and forwards nothing`, async () => {
      const {
        outcome,
        text,
        status: forwardedStatus,
      } = await runAttempt((res) => {
        res.writeHead(status, { 'retry-after': '2' });
        res.end(body);
      });
      expect(outcome).to.include({ kind, status });
      if (kind === 'declined') expect(outcome).to.include({ retryAfterMs: 2_000 });
      expect([text, forwardedStatus]).to.deep.equal(['', undefined]);
    });
  });

  it('forwards other client errors as complete', async () => {
    const { outcome, text, status } = await runAttempt((res) => {
      res.writeHead(404, { 'content-type': 'application/json' });
      res.end('{"error":1}');
    });
    expect(outcome).to.include({ kind: 'complete', status: 404 });
    expect([text, status]).to.deep.equal(['{"error":1}', 404]);
  });

  it('reports that nothing was sent when the connection is refused', async () => {
    const url = await startServer(() => {});
    servers.splice(0).forEach((server) => server.close());
    expect((await startAttempt(url).waitForEnd()).outcome.kind).to.equal('notSent');
  });

  it('times out when an upstream is silent before or within its response', async () => {
    const before = await runAttempt(() => {}, { firstByteTimeoutMs: 40 });
    expect(before.outcome.kind).to.equal('silent');
    const within = await runAttempt(
      (res) => {
        res.writeHead(200, EVENTS);
        res.write(createEvent('a'));
      },
      { idleTimeoutMs: 40 },
    );
    expect(within.outcome.kind).to.equal('silent');
    expect(within.text).to.equal(createEvent('a'));
  });

  it('closes the connection of a cancelled attempt', async () => {
    let isClosed = false;
    const url = await startServer((res) => {
      res.writeHead(200, EVENTS);
      res.write(createEvent('a'));
      res.once('close', () => {
        isClosed = true;
      });
    });
    const { host, forwarded, waitForEnd } = startAttempt(url);
    await waitUntil(() => forwarded.text !== '');
    host.cancel(ATTEMPT, 'e1');
    expect((await waitForEnd()).outcome).to.deep.equal({ kind: 'cancelled' });
    await waitUntil(() => isClosed);
  });

  it('stops reading while the caller is blocked, even beyond the idle timeout', async () => {
    const part = createEvent('x'.repeat(100_000));
    const parts = 200;
    let sent = 0;
    const url = await startServer((res) => {
      res.writeHead(200, EVENTS);
      const fill = () => {
        while (sent < parts) {
          sent += 1;
          if (!res.write(part)) {
            res.once('drain', fill);
            return;
          }
        }
        res.end(DONE);
      };
      fill();
    });
    let release: () => void = () => {};
    const blocked = new Promise<void>((resolve) => {
      release = resolve;
    });
    let isFirst = true;
    const { waitForEnd, forwarded } = startAttempt(
      url,
      { idleTimeoutMs: 50 },
      (): Promise<void> | undefined => {
        if (!isFirst) return undefined;
        isFirst = false;
        return blocked;
      },
    );
    await waitUntil(() => forwarded.text !== '');
    await sleep(200);
    expect(sent).to.be.lessThan(parts);
    release();
    const { outcome, text } = await waitForEnd();
    expect(outcome.kind).to.equal('complete');
    expect(text.length).to.equal(parts * part.length + DONE.length);
  });

  it('times out when a connection is accepted but never served', async () => {
    const silentServer = createTcpServer(() => {}).listen(0, '127.0.0.1');
    await waitUntil(() => silentServer.listening);
    const url = `http://127.0.0.1:${(silentServer.address() as AddressInfo).port}`;
    const { outcome } = await startAttempt(url, { firstByteTimeoutMs: 40 }).waitForEnd();
    expect(outcome.kind).to.equal('silent');
    silentServer.close();
  });
});
