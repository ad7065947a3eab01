import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { Agent } from 'undici';
import type { AttemptOutcome, AttemptPlan } from '../../src/core/types.js';
import { startAttemptRun } from '../../src/hosts/attemptRun.js';

describe('an attempt with a send deadline', () => {
  let server: Server;
  let requestsReceived = 0;
  const agent = new Agent();

  before((done) => {
    server = createServer((_req, res) => {
      requestsReceived += 1;
      res.end('booked');
    });
    server.listen(0, '127.0.0.1', done);
  });

  after(async () => {
    await agent.destroy();
    server.close();
  });

  const run = async (sendBefore: number) =>
    new Promise<AttemptOutcome>((resolve) => {
      const { port } = server.address() as AddressInfo;
      const plan: AttemptPlan = {
        attemptId: 'a1',
        requestId: 'q1',
        upstream: 'u1',
        url: `http://127.0.0.1:${port}`,
        pool: 'desk',
        kind: 'service',
        resumeFromToken: 0,
        idleTimeoutMs: 5_000,
        firstByteTimeoutMs: 5_000,
        captureAnswer: false,
        sendBefore,
      };
      startAttemptRun({
        dispatcher: agent,
        plan,
        req: { method: 'POST', path: '/', headers: {}, body: new Uint8Array([1]) },
        sink: { start: () => undefined, write: () => undefined },
        listener: {
          onStarted: () => undefined,
          onProgress: () => undefined,
          onEnded: resolve,
        },
      });
    });

  it('is not sent after the deadline', async () => {
    expect((await run(Date.now() - 1_000)).kind).to.equal('notSent');
    expect(requestsReceived).to.equal(0);
  });

  it('is sent before the deadline', async () => {
    expect((await run(Date.now() + 60_000)).kind).to.equal('complete');
    expect(requestsReceived).to.equal(1);
  });
});
