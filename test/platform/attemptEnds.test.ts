import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import {
  signedHead,
  startRawUpstream,
  type RawUpstream,
  type SocketEnd,
} from '../support/rawUpstream.js';
import {
  addReadyInstance,
  call,
  createOperatorConfiguration,
  createPlatformFleet,
  HOST,
  KEY,
  until,
  type PlatformFleet,
  type StartedInstance,
} from './support/fleet.js';

/** How the length of an answer is known to its reader. */
type Framing = 'without a length' | 'with a length' | 'in chunks';

const FRAMINGS: readonly Framing[] = ['without a length', 'with a length', 'in chunks'];
const HEADERS: Readonly<Record<Framing, readonly string[]>> = {
  'without a length': [],
  'with a length': ['Content-Length: 100000000'],
  'in chunks': ['Transfer-Encoding: chunked'],
};
const EVENT = 'id: 1\ndata: piece 1\n\n';
/** Time limit of the routes, which ends the attempts that nothing else ends. */
const TIMEOUT_MS = 600;

function frame(framing: Framing, text: string): string {
  return framing === 'in chunks' ? `${text.length.toString(16)}\r\n${text}\r\n` : text;
}

/** Way in which an attempt is ended in the midst of an answer. */
interface Ending {
  readonly what: string;
  readonly path: string;
  /** Status line of the answer that is not complete; a signed success if not set. */
  readonly statusLine?: string;
  /** First part of the body. */
  readonly text: string;
  /** Whether the first part is sent again and again. */
  readonly isEndless?: boolean;
  /** Ends the attempt once the first part has been sent; nothing to do if it ends by itself. */
  readonly end?: (parts: Parts) => void;
  /** Deadline of the request; that of the route if not set. */
  readonly deadlineMs?: number;
  /** What the caller has read at the end, if its connection stays open. */
  readonly answered?: RegExp;
  /** How the connection to the upstream ends; with a reset if not set. */
  readonly socketEnd?: SocketEnd;
}

interface Parts {
  readonly caller: Socket;
  readonly fleet: PlatformFleet;
  readonly upstream: RawUpstream;
  readonly started: StartedInstance;
}

const ENDINGS: readonly Ending[] = [
  {
    what: 'a caller that leaves',
    path: '/draft/1',
    text: EVENT,
    end: ({ caller }) => caller.destroy(),
  },
  { what: 'the time limit', path: '/draft/1', text: EVENT },
  {
    what: 'the time limit of an error answer',
    path: '/book/1',
    statusLine: 'HTTP/1.1 500 failed',
    text: 'fail',
    answered: /^HTTP\/1\.1 504 /,
  },
  {
    what: 'an error answer without end',
    path: '/book/1',
    statusLine: 'HTTP/1.1 500 failed',
    text: 'x'.repeat(60_000),
    isEndless: true,
    answered: /^HTTP\/1\.1 502 /,
  },
  { what: 'an event without end', path: '/chat/1', text: 'x'.repeat(60_000), isEndless: true },
  {
    what: 'an upstream that is gone, so that another one resumes the stream',
    path: '/chat/1',
    text: EVENT,
    deadlineMs: 5_000,
    end: ({ upstream, fleet }) => {
      upstream.stopListening();
      void fleet.addEngine('models');
    },
    answered: /piece 5/,
  },
  {
    what: 'the end of the instance',
    path: '/draft/1',
    text: EVENT,
    socketEnd: 'closed',
    end: ({ started }) => {
      void started.instance.kill();
    },
  },
];

// An attempt that was given up in the midst of an answer without a length ended the whole process, as the
// client library took the end of its connection for the end of the answer (review/1).
describe('an attempt that is ended in the midst of an answer', () => {
  let fleet: PlatformFleet;
  let upstream: RawUpstream;

  beforeEach(async () => {
    fleet = await createPlatformFleet();
    const { Routes } = JSON.parse(createOperatorConfiguration(1)) as { Routes: object[] };
    fleet.configure(1, { Routes: Routes.map((route) => ({ ...route, TimeoutMs: TIMEOUT_MS })) });
  });

  afterEach(async () => {
    await upstream.close();
    await fleet.close();
  });

  async function startUpstream(ending: Ending, framing: Framing): Promise<void> {
    const { statusLine, text, isEndless = false } = ending;
    upstream = await startRawUpstream(({ socket, requestId }) => {
      const head = signedHead(requestId, ...HEADERS[framing]);
      socket.write(statusLine === undefined ? head : head.replace('HTTP/1.1 200 OK', statusLine));
      const write = () => {
        socket.write(frame(framing, text));
        if (isEndless && !socket.destroyed) setImmediate(write);
      };
      write();
    });
    ['models', 'desk'].forEach((pool) => fleet.listAddress(upstream.address, pool));
  }

  function openCaller({ addresses }: StartedInstance, { path, deadlineMs = TIMEOUT_MS }: Ending) {
    const [host, port] = addresses.callers.split(':');
    const socket = connect(Number(port), host);
    let text = '';
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: raw-1\r\nDeadline-Ms: ${deadlineMs}\r\n` +
        `Authorization: Token ${KEY}\r\nContent-Length: 2\r\n\r\nhi`,
    );
    return { socket, text: () => text };
  }

  ENDINGS.forEach((ending) =>
    FRAMINGS.forEach((framing) =>
      it(`by ${ending.what}, ${framing}, ends nothing else`, async () => {
        await startUpstream(ending, framing);
        const started = await addReadyInstance(fleet);
        const caller = openCaller(started, ending);
        const hasBegun = () =>
          upstream.exchanges.length > 0 &&
          (ending.statusLine !== undefined ||
            ending.isEndless === true ||
            caller.text().includes('piece 1'));
        await until(hasBegun, 'the answer has begun');
        ending.end?.({ caller: caller.socket, fleet, upstream, started });
        const isAnswered = () => ending.answered?.test(caller.text()) === true;
        await until(() => caller.socket.destroyed || isAnswered(), 'the caller has the end');
        const [exchange] = upstream.exchanges;
        const isEnded = () => exchange?.socketEnd() === (ending.socketEnd ?? 'reset');
        await until(isEnded, 'the connection to the upstream is reset');
        if (ending.answered !== undefined) expect(isAnswered()).to.equal(true);
        const { requests } = started.instance.routing().state;
        if (ending.what.startsWith('the end of')) return;
        await until(() => requests.open.size === 0, 'the core has no open request');
        expect(requests.attempts.size).to.equal(0);
        expect((await call(started, '/none/1')).status).to.equal(404);
        caller.socket.destroy();
      }),
    ),
  );
});
