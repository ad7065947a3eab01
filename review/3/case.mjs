/**
 * One of three engines spoils one in forty of its answers: a failure whose status line has bytes that
 * are no text. Counts the requests that are unanswered at their route's timeout, and half a second
 * later.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createAgent, send } from '../lib/client.mjs';
import { answerWhole, signatureOf, startEngine } from '../lib/engine.mjs';
import { createFleet } from '../lib/fleet.mjs';
import { sleep } from '../lib/net.mjs';
import { hasTrouble, runCase } from '../lib/run.mjs';
import { clientHeaders, configuration, machines, ROUTES, ZONES } from '../lib/site.mjs';
import { startStore } from '../lib/store.mjs';

const SECONDS = 60;
const PER_SECOND = 20;
const WORK_MS = 15;
const DEADLINE_MS = 2_500;
/** Share of the answers of the faulty engine that are spoiled. */
const SPOILED = 0.025;
const SLACK_MS = 500;

/** Spoils one answer in forty, evenly, so that each play has the same dose. */
function createFaultyAnswer(record) {
  let count = 0;
  return (req, res) => {
    count += 1;
    if (count % Math.round(1 / SPOILED) !== 0) {
      answerWhole(req, res);
      return;
    }
    const requestId = req.headers['request-id'];
    record({ what: 'spoiled answer', requestId });
    const head = [
      'Content-Length: 0',
      `Request-Id: ${requestId}`,
      `Response-Signature: ${signatureOf(requestId)}`,
    ].join('\r\n');
    const spoiled = Buffer.from([0x49, 0x9c, 0xe3, 0x07, 0x81, 0xfe, 0x6f, 0x72]);
    req.socket.write(
      Buffer.concat([Buffer.from('HTTP/1.1 500 '), spoiled, Buffer.from(`\r\n${head}\r\n\r\n`)]),
    );
    // The engine goes on with the next request on this connection.
    req.socket.destroySoon();
  };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd }) => {
  const store = await startStore();
  onEnd(() => store.close());
  store.append('keyed.op', 'config', configuration(7));
  const spoil = createFaultyAnswer(record);
  for (const [i, zone] of ZONES.entries()) {
    const isFaulty = hasTrouble && i === 0;
    // eslint-disable-next-line no-await-in-loop -- in order
    const engine = await startEngine({
      store,
      id: `i-desk-${i}`,
      service: 'desk',
      zone,
      record,
      answer: (req, res) => setTimeout(() => (isFaulty ? spoil : answerWhole)(req, res), WORK_MS),
    });
    onEnd(() => engine.close());
  }
  const fleet = await createFleet({ store, names: machines(3), record });
  onEnd(() => fleet.close());
  fleet.instances.forEach((instance) => fleet.start(instance));
  await Promise.all(fleet.instances.map((instance) => fleet.untilReady(instance)));
  await sleep(1_000);

  const agents = fleet.instances.map(() => createAgent());
  onEnd(() => agents.forEach((agent) => agent.destroy()));
  const answers = [];
  for (let i = 0; i < SECONDS * PER_SECOND; i += 1) {
    const at = i % fleet.instances.length;
    const headers = clientHeaders({ deadlineMs: DEADLINE_MS });
    answers.push(
      send({
        to: fleet.instances[at].front,
        agent: agents[at],
        path: '/swap/2f',
        headers,
        body: 'swap',
        waitMs: DEADLINE_MS,
      }).then((answer) => {
        const { kind, status, afterMs } = answer;
        const requestId = headers['Request-Id'];
        record({
          what: 'client',
          requestId,
          instance: fleet.instances[at].name,
          kind,
          status,
          afterMs,
        });
        return answer;
      }),
    );
    // eslint-disable-next-line no-await-in-loop -- one after the other
    await sleep(1_000 / PER_SECOND);
  }
  const ended = await Promise.all(answers);
  const timeoutMs = ROUTES.swap.TimeoutMs;
  const lasting = ended.filter(({ afterMs }) => afterMs > timeoutMs);
  const unanswered = lasting.filter(({ afterMs }) => afterMs > timeoutMs + SLACK_MS);
  const served = ended.filter(({ kind, status }) => kind === 'answered' && status === 200);
  return {
    isBroken: unanswered.length > lasting.length / 2,
    summary: `${ended.length} requests, ${served.length} served, ${lasting.length} unanswered at the timeout of ${timeoutMs} ms, ${unanswered.length} of these also ${SLACK_MS} ms later`,
  };
});
