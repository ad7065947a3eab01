import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { request } from 'undici';
import { eventText, type EngineFault } from '../../src/standins/platform/batchEngine.js';
import {
  call,
  createPlatformFleet,
  HOST,
  KEY,
  until,
  type LoggedEvent,
  type PlatformFleet,
  type StartedInstance,
} from './support/fleet.js';

const expectedStream = (events: number, from = 1) =>
  Array.from({ length: events - from + 1 }, (_, i) => eventText(from + i)).join('');

/** Port 1 is never assigned to a listener that asks for an ephemeral port. */
const CLOSED_ADDRESS = '127.0.0.1:1';

const isListed =
  (id: string) =>
  ({ event, fields }: LoggedEvent): boolean =>
    event === 'upstreamListed' && fields.upstream === id;

const countEvents = ({ logged }: StartedInstance, wanted: string) =>
  logged.filter(({ event }) => event === wanted).length;

describe('a request on the platform', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = await createPlatformFleet();
    fleet.configure(1);
  });

  afterEach(async () => fleet.close());

  async function readyInstance(): Promise<StartedInstance> {
    const started = await fleet.addInstance();
    await until(() => started.instance.isReady(), 'the instance is ready');
    return started;
  }

  it('forwards a stream unchanged, with its headers and signature', async () => {
    const engine = await fleet.addEngine('models');
    const answer = await call(await readyInstance(), '/draft/7?x=1', { body: 'the prompt' });
    expect(answer.status).to.equal(200);
    expect(answer.text).to.equal(expectedStream(5));
    const [run] = engine.runs;
    expect(run).to.include({ method: 'POST', path: '/draft/7?x=1', body: 'the prompt' });
    expect(answer.headers['response-signature']).to.equal(`signed-${run?.requestId}`);
  });

  it('sends the customer but never the API key to the upstream', async () => {
    const engine = await fleet.addEngine('models');
    await call(await readyInstance(), '/draft/7');
    const headers = engine.runs[0]?.headers;
    expect(headers).to.include({ tenant: 'customer-a', 'expect-instance': engine.id });
    expect(JSON.stringify(headers)).to.not.include(KEY);
    expect(Number(headers?.['deadline-ms'])).to.be.within(1, 4_000);
  });

  it('drops reserved headers that a caller sends', async () => {
    const engine = await fleet.addEngine('models');
    const forged = {
      Tenant: 'another',
      Hold: '1',
      'Pin-Ms': '5',
      'Kv-Backup': '1.1.1.1:1',
      'Kv-From': '1.1.1.1:1/2',
      'Kv-Fetch': '1.1.1.1:1',
      'Expect-Instance': 'i-x',
    };
    await call(await readyInstance(), '/draft/7', { headers: { ...forged, 'X-Own': 'kept' } });
    const headers = engine.runs[0]?.headers;
    expect(headers).to.include({ tenant: 'customer-a', 'x-own': 'kept' });
    expect(headers).to.not.have.any.keys('hold', 'pin-ms', 'kv-backup', 'kv-from', 'kv-fetch');
  });

  it('rejects unknown paths and hosts with 404 and invalid keys with 401', async () => {
    await fleet.addEngine('models');
    const started = await readyInstance();
    expect((await call(started, '/none/7')).status).to.equal(404);
    expect((await call(started, '/draft/7', { headers: { host: 'x' } })).status).to.equal(404);
    expect((await call(started, '/draft/7', { key: 'wrong' })).status).to.equal(401);
    expect((await call(started, '/draft/7', { key: undefined })).status).to.equal(401);
  });

  it('accepts chunked bodies and rejects those that exceed the limit', async () => {
    const engine = await fleet.addEngine('desk');
    const started = await readyInstance();
    const answer = await request(`http://${started.addresses.callers}/book/1`, {
      method: 'POST',
      headers: { host: HOST, 'request-id': 'c1', authorization: `Token ${KEY}` },
      body: Readable.from([Buffer.from('two '), Buffer.from('parts')]),
    });
    await answer.body.dump();
    expect(engine.runs[0]?.body).to.equal('two parts');
    expect((await call(started, '/book/1', { body: 'x'.repeat(70_000) })).status).to.equal(413);
  });

  it('answers 400 to a request with both Content-Length and Transfer-Encoding, and closes', async () => {
    await fleet.addEngine('desk');
    const { addresses } = await readyInstance();
    const [host, port] = addresses.callers.split(':');
    const text = await new Promise<string>((resolve, reject) => {
      const socket = connect(Number(port), host);
      let received = '';
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString();
      });
      socket.on('close', () => resolve(received));
      socket.on('error', reject);
      socket.write(
        `POST /book/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: s\r\nContent-Length: 5\r\n` +
          'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /look/1 HTTP/1.1\r\n\r\n',
      );
    });
    expect(text).to.match(/^HTTP\/1\.1 400 /);
    expect(text.match(/HTTP\/1\.1/g)).to.have.length(1);
  });

  it('executes a non-idempotent request at most once, even if its response is lost', async () => {
    const first = await fleet.addEngine('desk');
    const second = await fleet.addEngine('desk');
    const started = await readyInstance();
    [first, second].forEach((engine) => engine.setFault({ kind: 'reset' }));
    expect((await call(started, '/book/1')).status).to.equal(502);
    expect(first.runs.length + second.runs.length).to.equal(1);
  });

  it('forwards an error response of the upstream unchanged', async () => {
    const engine = await fleet.addEngine('desk');
    engine.setFault({ kind: 'error' });
    const answer = await call(await readyInstance(), '/book/1');
    expect(answer).to.include({ status: 500, text: 'failed' });
    expect(answer.headers['response-signature']).to.equal(`signed-${engine.runs[0]?.requestId}`);
  });

  it('retries an idempotent request at another upstream', async () => {
    const first = await fleet.addEngine('desk');
    const second = await fleet.addEngine('desk');
    const started = await readyInstance();
    first.setFault({ kind: 'reset' });
    second.setFault({ kind: 'error' });
    second.limitFault(0);
    const answers = await Promise.all(
      Array.from({ length: 4 }, async () => call(started, '/look/1', { method: 'GET' })),
    );
    expect(answers.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200]);
  });

  it('uses another upstream if one refuses connections, and answers 503 if there is none', async () => {
    const gone = await fleet.addEngine('desk');
    await gone.close();
    // The port of the closed engine may have been reassigned.
    fleet.listEngine({ ...gone, address: CLOSED_ADDRESS }, 'desk');
    const started = await readyInstance();
    expect((await call(started, '/book/1')).status).to.equal(503);
    const other = await fleet.addEngine('desk');
    await until(
      () => started.instance.routing().state.upstreams.byId.has(other.id),
      'the second upstream is listed',
    );
    const answers = await Promise.all(
      Array.from({ length: 4 }, async () => call(started, '/book/1')),
    );
    expect(answers.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200]);
  });

  it('resets the connection of an aborted request that the upstream has not read', async () => {
    // Accepts connections and reads nothing, as behind a network partition. If the connection were
    // closed gracefully, the buffered request would be executed after its caller has left.
    const received: Buffer[] = [];
    const sockets: Socket[] = [];
    const errors: string[] = [];
    const silent = createServer((socket) => {
      socket.pause();
      sockets.push(socket);
      socket.on('error', (err: NodeJS.ErrnoException) => errors.push(err.code ?? ''));
      socket.on('data', (chunk: Buffer) => received.push(chunk));
    });
    await new Promise<void>((resolve) => {
      silent.listen(0, '127.0.0.1', resolve);
    });
    const { port } = silent.address() as AddressInfo;
    const engine = await fleet.addEngine('models');
    fleet.store.append('keyed.servers', engine.id, undefined);
    fleet.listEngine({ ...engine, id: 'silent', address: `127.0.0.1:${port}` }, 'desk');
    const started = await readyInstance();
    const abort = new AbortController();
    const responsePromise = call(started, '/book/1', { signal: abort.signal }).catch(
      () => undefined,
    );
    await until(() => sockets.length > 0, 'the upstream has a connection');
    abort.abort();
    await responsePromise;
    await until(
      () => started.logged.some(({ event }) => event === 'callerGone'),
      'the caller has left',
    );
    sockets.forEach((socket) => socket.resume());
    await until(() => errors.length > 0, 'the connection is reset');
    expect(errors).to.include('ECONNRESET');
    silent.close();
  });

  it('answers 503 with Retry-After if no upstream executed the request', async () => {
    const engine = await fleet.addEngine('desk');
    engine.setFault({ kind: 'shed' });
    const answer = await call(await readyInstance(), '/book/1');
    expect(answer.status).to.equal(503);
    expect(Number(answer.headers['retry-after'])).to.be.within(0.05, 2);
    expect(engine.runs).to.have.length(0);
  });

  it('resumes a stream at another upstream and delivers each event once', async () => {
    const engines = [await fleet.addEngine('models'), await fleet.addEngine('models')];
    const started = await readyInstance();
    engines.forEach((engine) => {
      engine.setFault({ kind: 'breakOff', afterEvents: 2 });
      engine.limitFault(1);
    });
    // Only the first of the two attempts fails.
    engines[1]?.limitFault(0);
    engines[0]?.limitFault(1);
    const answers = await Promise.all(
      Array.from({ length: 3 }, async () => call(started, '/chat/1')),
    );
    answers.forEach(({ status, text }) => {
      expect(status).to.equal(200);
      expect(text).to.equal(expectedStream(5));
    });
  });

  it('delivers each event once if a slow stream starts while it is being retried', async () => {
    const slow = { firstEventMs: 1_080, events: 40, eventGapMs: 10 };
    await fleet.addEngine('models', slow);
    await fleet.addEngine('models', slow);
    const started = await readyInstance();
    // The first events arrive around the time limit after which a request is retried elsewhere.
    const answers = await Promise.all(
      Array.from({ length: 12 }, async (_, i) => {
        await sleep(i * 17);
        return call(started, '/chat/1');
      }),
    );
    answers.forEach(({ status, text }) => {
      expect(status).to.equal(200);
      expect(text).to.equal(expectedStream(40));
    });
    expect(started.logged.map(({ event }) => event)).to.include('retried');
  });

  it('aborts the response if a stream breaks off', async () => {
    const engine = await fleet.addEngine('models');
    engine.setFault({ kind: 'breakOff', afterEvents: 2 });
    const started = await readyInstance();
    let failure: unknown;
    await call(started, '/draft/1').catch((err: unknown) => {
      failure = err;
    });
    expect(failure).to.be.instanceOf(Error);
    await until(
      () => started.logged.some(({ event }) => event === 'answerCut'),
      'the aborted response is logged',
    );
  });

  it('never forwards a response that belongs to another request', async () => {
    const engine = await fleet.addEngine('desk');
    engine.setFault({ kind: 'foreign' });
    const answer = await call(await readyInstance(), '/book/1');
    expect(answer.status).to.equal(502);
    expect(answer.text).to.not.include('not yours');
  });

  it('ignores a surplus response on a keep-alive connection', async () => {
    const engine = await fleet.addEngine('desk');
    engine.setFault({ kind: 'extra' });
    const started = await readyInstance();
    for (let i = 0; i < 5; i += 1) {
      // eslint-disable-next-line no-await-in-loop -- sequential requests on one connection
      const { status, text } = await call(started, '/look/1', { method: 'GET' });
      expect(status).to.equal(200);
      expect(text).to.match(/^answer to r\d+$/);
    }
  });

  it('accepts an unframed response only if its connection is closed gracefully', async () => {
    const engine = await fleet.addEngine('desk');
    const started = await readyInstance();
    engine.setFault({ kind: 'unframed', isReset: false });
    expect((await call(started, '/book/1')).text).to.equal('whole body');
    engine.setFault({ kind: 'unframed', isReset: true });
    for (let i = 0; i < 20; i += 1) {
      // eslint-disable-next-line no-await-in-loop -- one connection at a time
      const outcome = await call(started, '/book/1').then(
        ({ status }) => status,
        () => 'cut',
      );
      expect(outcome).to.be.oneOf(['cut', 502]);
    }
  });

  it('accepts a stream without framing unless it ends inside an event', async () => {
    const engine = await fleet.addEngine('models');
    const started = await readyInstance();
    engine.setFault({ kind: 'unframedStream', endsInsideEvent: false });
    expect((await call(started, '/draft/1')).text).to.equal(expectedStream(3));
    engine.setFault({ kind: 'unframedStream', endsInsideEvent: true });
    const outcome = await call(started, '/draft/2').then(
      ({ status }) => status,
      () => 'cut',
    );
    expect(outcome).to.be.oneOf(['cut', 502]);
  });

  it('resumes a stream without framing that ended inside an event', async () => {
    const engine = await fleet.addEngine('models');
    const other = await fleet.addEngine('models');
    const started = await readyInstance();
    engine.setFault({ kind: 'unframedStream', endsInsideEvent: true });
    other.setFault({ kind: 'unframedStream', endsInsideEvent: true });
    engine.limitFault(1);
    other.limitFault(0);
    const answers = [await call(started, '/chat/1'), await call(started, '/chat/2')];
    answers.forEach(({ text }) => expect(text).to.equal(expectedStream(5)));
    expect(engine.runs.length + other.runs.length).to.equal(3);
  });

  it('does not take a refusal that an engine repeats on a kept connection for the next answer', async () => {
    const engine = await fleet.addEngine('desk');
    engine.setFault({ kind: 'repeatedRefusal' });
    const started = await readyInstance();
    for (let i = 0; i < 4; i += 1) {
      const ranBefore = engine.runs.length;
      // eslint-disable-next-line no-await-in-loop -- sequential requests on one connection
      const { status } = await call(started, `/book/${i}`);
      if (status === 503) expect(engine.runs, `request ${i} ran`).to.have.lengthOf(ranBefore);
    }
  });

  /** Reads an answer as far as it comes, and tells whether it seemed whole. */
  async function readAnswer(started: StartedInstance, path: string) {
    let text = '';
    try {
      const { statusCode, body } = await request(`http://${started.addresses.callers}${path}`, {
        method: 'POST',
        headers: { host: HOST, authorization: `Token ${KEY}`, 'request-id': `broken${path}` },
      });
      if (statusCode !== 200) return undefined;
      for await (const part of body) text += String(part);
      return { text, isWhole: true };
    } catch {
      return { text, isWhole: false };
    }
  }

  const nextFaults: readonly EngineFault[] = [
    { kind: 'error' },
    { kind: 'shed' },
    { kind: 'foreign' },
    { kind: 'cutHead' },
    { kind: 'unframed', isReset: false },
  ];
  nextFaults.forEach((fault) => {
    it(`never puts the answer of the next engine into a stream that broke off (${fault.kind})`, async () => {
      const engines = [await fleet.addEngine('models'), await fleet.addEngine('models')];
      const started = await readyInstance();
      const answers = [];
      for (let i = 0; i < engines.length; i += 1) {
        engines[i]?.setFault({ kind: 'breakOff', afterEvents: 2 });
        engines[1 - i]?.setFault(fault);
        for (let n = 0; n < 4; n += 1) {
          // eslint-disable-next-line no-await-in-loop -- one stream at a time
          answers.push(await readAnswer(started, `/chat/${i}${n}`));
        }
      }
      const begun = answers.filter((answer) => answer?.text.startsWith(expectedStream(1)));
      expect(begun).to.have.length.of.at.least(1);
      begun.forEach((answer) => {
        expect(expectedStream(5).startsWith(answer?.text ?? '')).to.equal(true);
        if (answer?.isWhole) expect(answer.text).to.equal(expectedStream(5));
      });
    });
  });

  it('refuses a part of prompts on which engines crashed, at an instance that saw none of it', async () => {
    const witness = await readyInstance();
    const other = await readyInstance();
    const withPart = (i: number) => ({
      headers: { 'Prompt-Prefix': `aa:100,deadbeef:200,b${i}:10`, Model: 'm' },
      body: `prompt ${i}`,
    });
    for (let i = 0; i < 3; i += 1) {
      // eslint-disable-next-line no-await-in-loop -- one crash after the other
      const engine = await fleet.addEngine('models', { firstEventMs: 60_000 });
      // eslint-disable-next-line no-await-in-loop
      await until(() => witness.logged.some(isListed(engine.id)), 'the engine is listed');
      const answer = call(witness, `/draft/${i}`, withPart(i)).catch(() => undefined);
      // eslint-disable-next-line no-await-in-loop
      await until(() => engine.runs.length > 0, 'the engine runs the request');
      // eslint-disable-next-line no-await-in-loop
      await Promise.all([engine.close(), answer]);
      // eslint-disable-next-line no-await-in-loop
      await until(() => countEvents(witness, 'upstreamCrashed') > i, 'the crash is noticed');
      // eslint-disable-next-line no-await-in-loop
      await sleep(300);
    }
    await until(() => countEvents(other, 'causeBlocked') > 0, 'the other instance knows the part');
    const sound = await fleet.addEngine('models');
    await until(() => other.logged.some(isListed(sound.id)), 'a sound engine is listed');
    const refused = await call(other, '/draft/9', withPart(9));
    expect(refused.status).to.equal(503);
    expect(JSON.parse(refused.text)).to.include({ reason: 'crashesUpstreams' });
    expect(Number(refused.headers['retry-after'])).to.be.at.least(1);
    expect(sound.runs).to.have.lengthOf(0);
    const { body } = await request(`http://${other.addresses.operators}/refused`);
    const listed = (await body.json()) as readonly { readonly part?: string }[];
    expect(listed.map(({ part }) => part)).to.include('deadbeef');
  });

  it('never makes a whole answer of a head that an engine broke off', async () => {
    const engine = await fleet.addEngine('desk');
    const started = await readyInstance();
    engine.setFault({ kind: 'cutHead' });
    const outcomes = await Promise.all(
      ['/book/1', '/look/1'].map(async (path) =>
        call(started, path).then(
          ({ status }) => status,
          () => 'cut',
        ),
      ),
    );
    outcomes.forEach((outcome) => expect(outcome).to.be.oneOf(['cut', 502, 503]));
    expect(outcomes[0]).to.not.equal(503);
  });

  it('aborts a chunked response that lacks its last chunk', async () => {
    const engine = await fleet.addEngine('desk');
    engine.setFault({ kind: 'unfinished' });
    const started = await readyInstance();
    const outcomes = await Promise.all(
      ['/book/1', '/book/2'].map(async (path) =>
        call(started, path).then(
          ({ status }) => status,
          () => 'cut',
        ),
      ),
    );
    expect(outcomes).to.deep.equal(['cut', 'cut']);
  });

  it('aborts the attempt when the caller disconnects', async () => {
    const engine = await fleet.addEngine('models', { events: 1_000, eventGapMs: 5 });
    const started = await readyInstance();
    const abort = new AbortController();
    const responsePromise = call(started, '/draft/1', { signal: abort.signal }).catch(
      () => undefined,
    );
    await until(() => engine.runs.length === 1, 'the request is running');
    abort.abort();
    await responsePromise;
    await until(() => engine.runs[0]?.isAbandoned === true, 'the upstream sees the abort');
  });

  it('does not forward the request of a caller that disconnected while the event loop was blocked', async () => {
    const engine = await fleet.addEngine('desk', { firstEventMs: 200 });
    const { addresses } = await readyInstance();
    const [host, port] = addresses.callers.split(':');
    for (let i = 0; i < 10; i += 1) {
      const socket = connect(Number(port), host);
      // eslint-disable-next-line no-await-in-loop -- one caller at a time
      await new Promise((resolve) => {
        socket.once('connect', resolve);
      });
      socket.write(
        `POST /book/1 HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: gone${i}\r\n` +
          `Authorization: Token ${KEY}\r\nContent-Length: 0\r\n\r\n`,
      );
      socket.destroy();
      const busyUntil = performance.now() + 20;
      while (performance.now() < busyUntil);
      // eslint-disable-next-line no-await-in-loop -- the event loop processes the request
      await sleep(20);
    }
    expect(engine.runs.map(({ requestId }) => requestId)).to.deep.equal([]);
  });

  it('answers 504 at the timeout of the route', async () => {
    fleet.configure(2, {
      Routes: [
        {
          Name: 'book',
          Host: HOST,
          PathPrefix: '/book/',
          Kind: 'non_idempotent',
          Service: 'desk',
          TimeoutMs: 300,
          SloMs: 100,
          Attempts: 1,
        },
      ],
    });
    const engine = await fleet.addEngine('desk');
    engine.setFault({ kind: 'hang' });
    const started = await readyInstance();
    expect((await call(started, '/book/1')).status).to.equal(504);
    expect(engine.runs).to.have.length(1);
  });

  it('answers 503 until a configuration is loaded', async () => {
    fleet.store.setFault({ kind: 'refuse', status: 503 });
    const started = await fleet.addInstance();
    const answer = await call(started, '/draft/1');
    expect(answer.status).to.equal(503);
    expect(answer.headers['retry-after']).to.be.a('string');
    expect(started.instance.isReady()).to.equal(false);
  });
});
