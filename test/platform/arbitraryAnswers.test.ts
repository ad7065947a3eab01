import { connect } from 'node:net';
import { expect } from 'chai';
import * as fc from 'fast-check';
import { startRawUpstream, type RawUpstream } from '../support/rawUpstream.js';
import {
  addReadyInstance,
  createOperatorConfiguration,
  createPlatformFleet,
  HOST,
  KEY,
  until,
  type PlatformFleet,
  type StartedInstance,
} from './support/fleet.js';

const TIMEOUT_MS = 400;
const RUNS = 120;
const SEED = 47;
/** Log events that say that the program itself has failed. */
const FAILURES: ReadonlySet<string> = new Set(['eventFailed', 'responseFailed']);
/** Final statuses that an answer to a sound request may have here, with the answers of the instance itself. */
const FINAL_STATUS = /^HTTP\/1\.1 ([2-9]\d\d) /;

/** An answer of an upstream, as raw bytes, after which it closes the connection or holds it. */
interface RawAnswer {
  readonly statusLine: Buffer;
  readonly headers: readonly string[];
  readonly body: string;
  readonly isNamed: boolean;
  readonly isClosed: boolean;
}

/** Bytes without line ends, in Latin-1. */
const bytes = (maxLength: number) =>
  fc
    .uint8Array({ maxLength })
    .map((array) => Buffer.from(array.filter((byte) => byte !== 10 && byte !== 13)));

const status = fc.oneof(
  fc.constantFrom('200', '204', '304', '404', '500', '503', '429', '421'),
  fc.constantFrom('000', '099', '100', '101', '103', '199', '600', '999', '1000', '20', '-1', 'x'),
);

const headerLine = fc.oneof(
  fc.constantFrom(
    'Content-Length: 0',
    'Content-Length: 3',
    'Content-Length: 99',
    'Content-Length: -1',
    'Content-Length: x',
    'Transfer-Encoding: chunked',
    'Transfer-Encoding: gzip, chunked',
    'Transfer-Encoding: gzip',
    'Connection: close',
    'Connection: content-length',
    'Connection: upgrade',
    'Upgrade: other',
    'Trailer: X',
    'Keep-Alive: timeout=-1',
    'Retry-After: \u0001',
    'Server-Limit: 1e999',
    'Content-Type: text/event-stream',
    'Date: never',
    'Set-Cookie: a\u00e4\u007f',
  ),
  fc
    .tuple(bytes(6), bytes(12))
    .map(([name, value]) => `${name.toString('latin1')}: ${value.toString('latin1')}`),
);

const rawAnswer: fc.Arbitrary<RawAnswer> = fc.record({
  statusLine: fc.oneof(
    fc
      .tuple(status, fc.oneof(fc.constant(Buffer.from('OK')), bytes(12)))
      .map(([code, phrase]) => Buffer.concat([Buffer.from(`HTTP/1.1 ${code} `), phrase])),
    bytes(20),
  ),
  headers: fc.array(headerLine, { maxLength: 4 }),
  body: fc.constantFrom('', 'abc', '3\r\nabc\r\n0\r\n\r\n', 'HTTP/1.1 200 OK\r\n\r\n', 'id: 1\n\n'),
  isNamed: fc.boolean(),
  isClosed: fc.boolean(),
});

function encode({ statusLine, headers, body, isNamed }: RawAnswer, requestId: string): Buffer {
  const names = isNamed ? [`Request-Id: ${requestId}`, `Response-Signature: s-${requestId}`] : [];
  const rest = ['', ...names, ...headers, '', body].join('\r\n');
  return Buffer.concat([statusLine, Buffer.from(rest, 'latin1')]);
}

// A failure whose reason phrase is no Latin-1 text was never passed on, and its caller got no answer, as the
// core had ended the request when the host failed to write the answer (review/3).
describe('an upstream that answers with arbitrary bytes', () => {
  let fleet: PlatformFleet;
  let upstream: RawUpstream;
  let started: StartedInstance;
  let answer: RawAnswer;

  beforeEach(async () => {
    fleet = await createPlatformFleet();
    const { Routes } = JSON.parse(createOperatorConfiguration(1)) as { Routes: object[] };
    fleet.configure(1, { Routes: Routes.map((route) => ({ ...route, TimeoutMs: TIMEOUT_MS })) });
    upstream = await startRawUpstream(({ socket, requestId }) => {
      socket.write(encode(answer, requestId));
      if (answer.isClosed) socket.end();
    });
    fleet.listAddress(upstream.address, 'desk');
    fleet.listAddress(upstream.address, 'models');
    started = await addReadyInstance(fleet);
  });

  afterEach(async () => {
    await upstream.close();
    await fleet.close();
  });

  /** Sends a request; returns what its caller has read when its answer or connection has ended. */
  async function askOnce(path: string, method = 'POST'): Promise<string> {
    const [host, port] = started.addresses.callers.split(':');
    const socket = connect(Number(port), host);
    let text = '';
    let isClosed = false;
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      isClosed = true;
    });
    socket.write(
      `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: r\r\nDeadline-Ms: ${TIMEOUT_MS}\r\n` +
        `Authorization: Token ${KEY}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi`,
    );
    await until(() => isClosed, `the request to ${path} has ended`);
    return text;
  }

  it('leaves no request without an end, and nothing of it behind', async () => {
    const asked = fc.constantFrom('/book/1', '/look/1', '/draft/1', '/chat/1');
    const property = fc.asyncProperty(rawAnswer, asked, async (generated, path) => {
      answer = generated;
      const text = await askOnce(path);
      if (text !== '') expect(text).to.match(FINAL_STATUS);
      const { requests } = started.instance.routing().state;
      await until(() => requests.open.size + requests.attempts.size === 0, 'nothing is left');
      const failed = started.logged.filter(({ event }) => FAILURES.has(event));
      expect(failed.map(({ fields }) => fields)).to.deep.equal([]);
    });
    await fc.assert(property, { numRuns: RUNS, seed: SEED });
  });

  it('passes a failure on at once whatever its reason phrase', async () => {
    const phrase = Buffer.from([0x49, 0x9c, 0xe3, 0x07, 0x81, 0xfe, 0x6f, 0x72]);
    answer = {
      statusLine: Buffer.concat([Buffer.from('HTTP/1.1 500 '), phrase]),
      headers: ['Content-Length: 3'],
      body: 'abc',
      isNamed: true,
      isClosed: true,
    };
    const text = await askOnce('/book/1');
    expect(text).to.match(/^HTTP\/1\.1 500 Internal Server Error\r\n/);
    expect(text).to.match(/\r\n\r\nabc$/);
  });
});
