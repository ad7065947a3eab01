import { createServer, type Server, type ServerResponse } from 'node:http';
import { createServer as createTcpServer, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { AttemptOutcome, AttemptPlan, CoreEvent } from '../../src/core/types.js';
import type { AnswerSink, UpstreamHost } from '../../src/hosts/types.js';
import { createUpstreamHost } from '../../src/hosts/upstreamHost.js';

const ATTEMPT = 'attempt-1';
const EVENT = (text: string) => `data: ${JSON.stringify({ id: ATTEMPT, choices: [{ text }] })}\n\n`;
const DONE = 'data: [DONE]\n\n';
const EVENTS = { 'content-type': 'text/event-stream', 'x-request-id': ATTEMPT };

async function until(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await sleep(2);
  await until(condition);
}

interface Ran {
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

  async function serve(answer: (res: ServerResponse) => void): Promise<string> {
    const server = createServer((req, res) => {
      req.resume();
      if (req.url === '/ask') answer(res);
      else res.end('{}');
    });
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  /** Starts an attempt, on the host of an earlier one if it is given. */
  function begin(
    url: string,
    plan: Partial<AttemptPlan> = {},
    write?: AnswerSink['write'],
    earlier?: { readonly host: UpstreamHost; readonly events: CoreEvent[] },
  ) {
    const events: CoreEvent[] = earlier?.events ?? [];
    events.splice(0);
    const passed: { text: string; status: number | undefined } = { text: '', status: undefined };
    const host = earlier?.host ?? createUpstreamHost({ post: (event) => events.push(event) });
    if (earlier === undefined) hosts.push(host);
    const sink: AnswerSink = {
      start: ({ status }) => {
        passed.status ??= status;
      },
      write: (chunk): Promise<void> | undefined => {
        passed.text += Buffer.from(chunk).toString();
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
    const ended = async (): Promise<Ran> => {
      const outcomeOf = () => events.find((event) => event.kind === 'attemptEnded');
      await until(() => outcomeOf() !== undefined);
      const event = outcomeOf();
      if (event?.kind !== 'attemptEnded') throw new Error('The attempt has not ended.');
      return { outcome: event.outcome, ...passed, events };
    };
    return { host, events, passed, ended };
  }

  const run = async (answer: (res: ServerResponse) => void, plan?: Partial<AttemptPlan>) =>
    begin(await serve(answer), plan).ended();

  it('counts tokens and takes a stream with its end mark for complete', async () => {
    const usage = {
      prompt_tokens: 9,
      completion_tokens: 2,
      prompt_tokens_details: { cached_tokens: 4 },
    };
    const { outcome, text, events } = await run((res) => {
      res.writeHead(200, EVENTS);
      res.end(
        `${EVENT('a')}${EVENT('b')}data: ${JSON.stringify({ id: ATTEMPT, usage })}\n\n${DONE}`,
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

  it('passes on whole events only and takes a stream without end mark for cut', async () => {
    const { outcome, text } = await run((res) => {
      res.writeHead(200, EVENTS);
      res.end(`${EVENT('a')}${EVENT('b').slice(0, 20)}`);
    });
    expect(outcome.kind).to.equal('cut');
    expect(text).to.equal(EVENT('a'));
  });

  it('takes a reset connection and a short body for cut and passes no part of the body on', async () => {
    const reset = await run((res) => {
      res.writeHead(200, EVENTS);
      res.write(EVENT('a'), () => setTimeout(() => res.socket?.resetAndDestroy(), 20));
    });
    expect(reset.outcome.kind).to.equal('cut');
    const short = await run((res) => {
      res.writeHead(200, { 'content-length': '100' });
      res.write('{"half', () => res.socket?.end());
    });
    expect(short.outcome.kind).to.equal('cut');
    expect(short.text).to.equal('');
  });

  it('drops the reply of another attempt, from the head or from mid-stream on', async () => {
    const head = await run((res) => {
      res.writeHead(200, { ...EVENTS, 'x-request-id': 'other' });
      res.end(EVENT('a') + DONE);
    });
    expect(head).to.deep.include({ outcome: { kind: 'foreign' }, text: '' });
    const middle = await run((res) => {
      res.writeHead(200, EVENTS);
      res.write(EVENT('a'));
      setTimeout(() => res.end(EVENT('b').replace(ATTEMPT, 'other') + DONE), 20);
    });
    expect(middle).to.deep.include({ outcome: { kind: 'foreign' }, text: EVENT('a') });
  });

  it('drops a crossed reply of an engine that names attempts in its body only', async () => {
    const headers = { 'content-type': 'text/event-stream' };
    let reply = EVENT('a') + DONE;
    const url = await serve((res) => {
      res.writeHead(200, headers);
      res.end(reply);
    });
    const first = begin(url);
    expect((await first.ended()).outcome.kind).to.equal('complete');
    reply = reply.replace(ATTEMPT, 'other');
    const second = begin(url, {}, undefined, first);
    const { outcome, text } = await second.ended();
    expect([outcome.kind, text]).to.deep.equal(['foreign', '']);
  });

  const refusals: readonly (readonly [number, string, AttemptOutcome['kind']])[] = [
    [429, '', 'declined'],
    [503, '{"executed":"no"}', 'declined'],
    [503, '', 'upstreamError'],
    [500, '{"executed":"no"}', 'upstreamError'],
  ];
  refusals.forEach(([status, body, kind]) => {
    it(`takes ${status} '${body}' for ${kind} and passes nothing on`, async () => {
      const {
        outcome,
        text,
        status: passed,
      } = await run((res) => {
        res.writeHead(status, { 'retry-after': '2' });
        res.end(body);
      });
      expect(outcome).to.include({ kind, status });
      if (kind === 'declined') expect(outcome).to.include({ retryAfterMs: 2_000 });
      expect([text, passed]).to.deep.equal(['', undefined]);
    });
  });

  it('passes other client errors on as complete', async () => {
    const { outcome, text, status } = await run((res) => {
      res.writeHead(404, { 'content-type': 'application/json' });
      res.end('{"error":1}');
    });
    expect(outcome).to.include({ kind: 'complete', status: 404 });
    expect([text, status]).to.deep.equal(['{"error":1}', 404]);
  });

  it('knows that nothing was sent when the connection is refused', async () => {
    const url = await serve(() => {});
    servers.splice(0).forEach((server) => server.close());
    expect((await begin(url).ended()).outcome.kind).to.equal('notSent');
  });

  it('gives up an upstream that is silent before or within its answer', async () => {
    const before = await run(() => {}, { firstByteTimeoutMs: 40 });
    expect(before.outcome.kind).to.equal('silent');
    const within = await run(
      (res) => {
        res.writeHead(200, EVENTS);
        res.write(EVENT('a'));
      },
      { idleTimeoutMs: 40 },
    );
    expect(within.outcome.kind).to.equal('silent');
    expect(within.text).to.equal(EVENT('a'));
  });

  it('ends the connection of a cancelled attempt', async () => {
    let isClosed = false;
    const url = await serve((res) => {
      res.writeHead(200, EVENTS);
      res.write(EVENT('a'));
      res.once('close', () => {
        isClosed = true;
      });
    });
    const { host, passed, ended } = begin(url);
    await until(() => passed.text !== '');
    host.cancel(ATTEMPT, 'e1');
    expect((await ended()).outcome).to.deep.equal({ kind: 'cancelled' });
    await until(() => isClosed);
  });

  it('stops reading while the caller cannot take more, for longer than the idle limit', async () => {
    const part = EVENT('x'.repeat(100_000));
    const parts = 200;
    let sent = 0;
    const url = await serve((res) => {
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
    const { ended, passed } = begin(url, { idleTimeoutMs: 50 }, (): Promise<void> | undefined => {
      if (!isFirst) return undefined;
      isFirst = false;
      return blocked;
    });
    await until(() => passed.text !== '');
    await sleep(200);
    expect(sent).to.be.lessThan(parts);
    release();
    const { outcome, text } = await ended();
    expect(outcome.kind).to.equal('complete');
    expect(text.length).to.equal(parts * part.length + DONE.length);
  });

  it('does not wait for a connection that is accepted but never served', async () => {
    const held = createTcpServer(() => {}).listen(0, '127.0.0.1');
    await until(() => held.listening);
    const url = `http://127.0.0.1:${(held.address() as AddressInfo).port}`;
    const { outcome } = await begin(url, { firstByteTimeoutMs: 40 }).ended();
    expect(outcome.kind).to.equal('silent');
    held.close();
  });
});
