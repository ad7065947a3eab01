import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { startRawUpstream, signedHead, type RawUpstream } from '../support/rawUpstream.js';
import {
  createOperatorConfiguration,
  createPlatformFleet,
  HOST,
  KEY,
  until,
  type PlatformFleet,
} from './support/fleet.js';
import { buildBundle, startProgram, type Bundle, type Program } from './support/program.js';

/** Memory that a machine of the platform gives to a process; one that takes more is killed. */
const MEMORY_LIMIT_MIB = 350;
const BODY_BYTES = 4 * 1024 * 1024;
const CALLERS = 150;
const BODY = Buffer.alloc(BODY_BYTES, 'x');

/** A caller's connection, and what it has read. */
interface Caller {
  readonly socket: Socket;
  readonly text: () => string;
  readonly isClosed: () => boolean;
}

// Bytes that wait are bounded for each request; together they took more than the process may have, which was
// killed with all of its requests: 417 MB with error answers that are held back, 671 MB with long bodies.
describe('memory of a process', () => {
  let bundle: Bundle;
  let fleet: PlatformFleet;
  let program: Program;
  let callers: Caller[];
  const upstreams: RawUpstream[] = [];

  before(async () => {
    bundle = await buildBundle();
  });
  after(async () => bundle.remove());

  beforeEach(async () => {
    callers = [];
    fleet = await createPlatformFleet();
    const { Limits, Services } = JSON.parse(createOperatorConfiguration(1)) as {
      Limits: object;
      Services: object[];
    };
    fleet.configure(1, {
      Limits: { ...Limits, MaxBodyBytes: BODY_BYTES },
      Services: Services.map((service) => ({ ...service, MaxConns: 2 * CALLERS })),
    });
  });

  afterEach(async () => {
    callers.forEach(({ socket }) => socket.destroy());
    program.signal('SIGKILL');
    await program.ended;
    await Promise.all(upstreams.splice(0).map(async (upstream) => upstream.close()));
    await fleet.close();
  });

  async function addUpstream(pool: string, answer: Parameters<typeof startRawUpstream>[0]) {
    const upstream = await startRawUpstream(answer);
    upstreams.push(upstream);
    fleet.listAddress(upstream.address, pool, { Slots: 2 * CALLERS });
  }

  function openCaller(path: string, contentLength: number): Caller {
    const [host, port] = program.callers.split(':');
    const socket = connect(Number(port), host);
    let text = '';
    let isClosed = false;
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      isClosed = true;
    });
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: r${callers.length}\r\nDeadline-Ms: 4000\r\n` +
        `Authorization: Token ${KEY}\r\nContent-Length: ${contentLength}\r\n\r\n`,
    );
    const caller = { socket, text: () => text, isClosed: () => isClosed };
    callers.push(caller);
    return caller;
  }

  async function checkAllEnd(): Promise<void> {
    await until(
      () => callers.every(({ text, isClosed }) => isClosed() || text().startsWith('HTTP/1.1 ')),
      'each caller has an answer',
    );
    const peakMib = await program.peakMemoryMib();
    if (peakMib !== undefined) expect(peakMib).to.be.below(MEMORY_LIMIT_MIB);
  }

  const statusesOf = (some: readonly Caller[]) =>
    some.map(({ text }) => /^HTTP\/1\.1 (\d+)/.exec(text())?.[1]);

  it('is bounded with error answers whose end is held back', async () => {
    await addUpstream('desk', ({ socket, requestId }) => {
      const head = signedHead(requestId, `Content-Length: ${BODY_BYTES}`);
      socket.write(head.replace('200 OK', '500 Internal Server Error'));
      socket.write(BODY.subarray(0, -100));
    });
    program = await startProgram(bundle, fleet.store.url);
    for (let i = 0; i < CALLERS; i += 1) openCaller('/look/1', 0);
    await checkAllEnd();
  });

  it('is bounded with long bodies of callers whose end is late, and short ones are served', async () => {
    await addUpstream('desk', ({ socket, requestId }) => {
      socket.write(signedHead(requestId, 'Content-Length: 2'));
      socket.write('ok');
    });
    program = await startProgram(bundle, fleet.store.url);
    const long = Array.from({ length: CALLERS }, () => {
      const caller = openCaller('/look/1', BODY_BYTES);
      caller.socket.write(BODY.subarray(0, -1));
      return caller;
    });
    await sleep(700);
    const short = openCaller('/look/1', 2);
    short.socket.write('hi');
    await sleep(800);
    long.forEach(({ socket }) => socket.write('x'));
    await checkAllEnd();
    expect(statusesOf([short])).to.deep.equal(['200']);
    const statuses = statusesOf(long);
    expect(statuses.filter((status) => status === '200').length).to.be.at.least(5);
    const others = statuses.filter((status) => status !== '200');
    expect(new Set(others)).to.deep.equal(new Set(['503']));
  });

  it('takes no byte of a long body that cannot be served', async () => {
    program = await startProgram(bundle, fleet.store.url);
    const refused = [
      ['/none/1', '404'],
      ['/look/1', '503'],
    ] as const;
    const opened = refused.map(([path]) => openCaller(path, BODY_BYTES));
    await checkAllEnd();
    expect(statusesOf(opened)).to.deep.equal(refused.map(([, status]) => status));
  });
});
