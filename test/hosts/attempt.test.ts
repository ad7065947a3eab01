import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { Dispatcher } from 'undici';
import { createRequestProtocol } from '../../platform/headers.js';
import { startAttempt, type RunningAttempt } from '../../src/hosts/routing/attempt.js';
import type { CallerResponse } from '../../src/hosts/routing/callerResponse.js';
import { createUpstreamPools, type UpstreamPools } from '../../src/hosts/routing/upstreamPools.js';
import { createByteBudget } from '../../src/routing/load/byteBudget.js';
import type { AttemptOutcome } from '../../src/routing/types.js';
import {
  firstSocket,
  signedHead,
  startRawUpstream,
  type RawUpstream,
} from '../support/rawUpstream.js';

const PLAN = {
  attempt: 1,
  request: 1,
  upstream: 'u',
  upstreamStartedAt: 1,
  deadlineMs: 5_000,
  mode: 'idempotent',
  isResumed: false,
  maxConnections: 1,
} as const;

type RawSocket = RawUpstream['exchanges'][number]['socket'];

/** A way in which a connection ends while the answer on it is paused. */
interface Ending {
  readonly what: string;
  readonly end: (socket: RawSocket, running: RunningAttempt) => void;
  /** Outcome; none while an answer that was closed in order stays paused. */
  readonly outcome: AttemptOutcome['kind'] | undefined;
}

const ENDINGS: readonly Ending[] = [
  {
    what: 'its upstream resets it',
    end: (socket) => socket.resetAndDestroy(),
    outcome: 'cut',
  },
  { what: 'its upstream closes it', end: (socket) => socket.end(), outcome: undefined },
  {
    what: 'the attempt is given up',
    end: (_socket, running) => running.cancel(),
    outcome: 'cancelled',
  },
];

// The client library asserts that an answer is not paused when its connection ends. A slow caller, whose
// upstream broke its answer off, ended the whole process.
describe('an answer without a length that is paused, as its caller is slow', () => {
  let upstream: RawUpstream;
  let pools: UpstreamPools;
  let faults: string[];

  beforeEach(() => {
    faults = [];
    pools = createUpstreamPools({
      onListenerFailed: (event, err) => faults.push(`${event}: ${String(err)}`),
    });
  });
  afterEach(async () => {
    await pools.close();
    await upstream.close();
  });

  /** Sends a request whose caller never takes more than the first part. */
  function send(
    onEnded: (outcome: AttemptOutcome) => void,
    onPaused: () => void = () => {},
  ): RunningAttempt {
    const dispatcher: Dispatcher = pools.getPool({ ...PLAN, address: upstream.address });
    const callerResponse: CallerResponse = {
      forwardHead: () => {},
      write: () => {
        onPaused();
        return false;
      },
      onceWritable: () => {},
      end: () => {},
      abort: () => {},
      hasHead: () => true,
      sendLocalResponse: () => {},
    };
    return startAttempt({
      dispatcher,
      plan: { ...PLAN, address: upstream.address },
      requestId: 'r',
      head: { method: 'GET', path: '/', rawHeaders: ['Request-Id', 'r'] },
      body: undefined,
      callerResponse,
      hold: createByteBudget(1_000_000).open(''),
      protocol: createRequestProtocol(),
      now: () => performance.now(),
      connectionEnd: pools.connectionEnd,
      currentConnection: pools.currentConnection,
      listener: {
        onResponseHead: () => {},
        onProgress: () => {},
        onEventForwarded: () => {},
        onEnded,
      },
    });
  }

  ENDINGS.forEach(({ what, end, outcome: expected }) =>
    it(`ends only itself if ${what}`, async () => {
      upstream = await startRawUpstream(({ socket, requestId }) => {
        socket.write(`${signedHead(requestId)}first part`);
      });
      let outcome: AttemptOutcome | undefined;
      await new Promise<void>((resolve) => {
        const running = send(
          (ended) => {
            outcome = ended;
            resolve();
          },
          () => setTimeout(() => end(firstSocket(upstream), running), 50),
        );
        setTimeout(resolve, 1_000);
      });
      await sleep(50);
      expect(outcome?.kind).to.equal(expected);
      expect(faults).to.deep.equal([]);
      // The connection does not stay occupied: the next request gets one.
      const next = upstream.exchanges.length;
      if (outcome === undefined) return;
      send(() => {});
      await sleep(100);
      expect(upstream.exchanges.length).to.equal(next + 1);
    }),
  );
});
