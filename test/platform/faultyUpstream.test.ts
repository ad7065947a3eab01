import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { signedHead, startRawUpstream, type RawExchange } from '../support/rawUpstream.js';
import {
  addReadyInstance,
  call,
  createOperatorConfiguration,
  createPlatformFleet,
  type PlatformFleet,
} from './support/fleet.js';

const REQUESTS = 70;
const INTERVAL_MS = 100;
const TIMEOUT_MS = 1_200;
/** Requests sent before an attempt at the faulty upstream can have failed by its time limit. */
const BEFORE_EVIDENCE = (2 * TIMEOUT_MS) / INTERVAL_MS;

/** Ways to answer without end; each writes its bytes again and again. */
const FAULTS: Readonly<Record<string, (exchange: RawExchange) => readonly [string, string]>> = {
  'a body in chunks without end': ({ requestId }) => [
    signedHead(requestId, 'Transfer-Encoding: chunked'),
    '1\r\nx\r\n',
  ],
  'a chunk extension without end': ({ requestId }) => [
    `${signedHead(requestId, 'Transfer-Encoding: chunked')}5;`,
    'x',
  ],
  'a body without a length and without end': ({ requestId }) => [signedHead(requestId), 'x'],
  'interim answers without end': () => ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  'a status line without end': () => ['HTTP/1.1 200 ', 'x'],
  'an error answer that is held back': ({ requestId }) => [
    `HTTP/1.1 500 failed\r\nRequest-Id: ${requestId}\r\nContent-Length: 99\r\n\r\n`,
    '',
  ],
};

// Callers were sent to an upstream that never ends its answers, for as long as it did so, while sound ones
// stood idle: an attempt that the instance ended itself was no evidence against its upstream.
describe('an upstream that never ends its answers', () => {
  let fleet: PlatformFleet;
  let closeRaw: () => Promise<void>;

  beforeEach(async () => {
    fleet = await createPlatformFleet();
    const { Routes } = JSON.parse(createOperatorConfiguration(1)) as { Routes: object[] };
    fleet.configure(1, { Routes: Routes.map((route) => ({ ...route, TimeoutMs: TIMEOUT_MS })) });
  });

  afterEach(async () => {
    await closeRaw();
    await fleet.close();
  });

  Object.entries(FAULTS).forEach(([what, bytesOf]) =>
    it(`gets few requests once it has sent ${what}`, async () => {
      const arrivals: number[] = [];
      let sent = 0;
      const faulty = await startRawUpstream((exchange) => {
        arrivals.push(sent);
        const [head, again] = bytesOf(exchange);
        exchange.socket.write(head);
        const timer = setInterval(() => exchange.socket.write(again), 10);
        exchange.socket.once('close', () => clearInterval(timer));
      });
      closeRaw = faulty.close;
      fleet.listAddress(faulty.address, 'desk');
      // In another failure domain, so that the faulty one is preferred as long as nothing speaks against it.
      await fleet.addEngine('desk', {}, { Zone: 'domain-b' });
      await fleet.addEngine('desk', {}, { Zone: 'domain-b' });
      const started = await addReadyInstance(fleet);
      const answers: Promise<number>[] = [];
      const headers = { 'deadline-ms': String(TIMEOUT_MS) };
      for (sent = 0; sent < REQUESTS; sent += 1) {
        const answer = call(started, '/look/1', { headers });
        answers.push(answer.then(({ status }) => status).catch(() => 0));
        // eslint-disable-next-line no-await-in-loop -- a steady rate
        await sleep(INTERVAL_MS);
      }
      const statuses = await Promise.all(answers);
      const late = statuses.slice(BEFORE_EVIDENCE);
      const failed = late.filter((status) => status !== 200).length;
      const lateArrivals = arrivals.filter((at) => at >= BEFORE_EVIDENCE).length;
      expect({ failed, lateArrivals }).to.satisfy(
        () => failed <= late.length / 10 && lateArrivals <= late.length / 10,
        `${failed} of ${late.length} failed, ${lateArrivals} arrived at the faulty one; before: ${arrivals.length - lateArrivals} of ${BEFORE_EVIDENCE}`,
      );
    }),
  );
});
