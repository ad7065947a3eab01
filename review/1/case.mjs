/**
 * Sound engines give one answer in twenty without a length: it ends with its connection. Some clients
 * leave in the midst of their answers. Counts the processes that end by themselves, and the
 * requests that had been passed on from a kept connection to a sound engine and got no answer.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createAgent, send } from '../lib/client.mjs';
import { answerStream, startEngine } from '../lib/engine.mjs';
import { createFleet } from '../lib/fleet.mjs';
import { sleep } from '../lib/net.mjs';
import { hasTrouble, runCase } from '../lib/run.mjs';
import { clientHeaders, configuration, machines, ZONES } from '../lib/site.mjs';
import { startStore } from '../lib/store.mjs';

const SECONDS = 60;
const PER_SECOND = 45;
const STREAM = { pieces: 20, intervalMs: 100, readMs: 300 };
const DEADLINE_MS = 3_000;
const WAIT_MS = 4_000;
/** Share of the answers that have no length. */
const UNFRAMED = 0.05;
/** Share of the clients that leave, and when. They do so for five seconds of six. */
const LEAVING = 0.3;
const LEAVE_AFTER_MS = 1_000;
const LEAVING_FOR_MS = 5_000;
const LEAVING_EVERY_MS = 6_000;
const RESTART_DELAY_MS = 200;
const SEED = 44;
const MAX_LOST = 3;

/** Returns a generator of numbers from 0 to 1, the same in each play. */
function createRandom(seed) {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, onEnd }) => {
  const store = await startStore();
  onEnd(() => store.close());
  store.append('keyed.op', 'config', configuration(7));
  const runs = new Set();
  for (const [i, zone] of ZONES.entries()) {
    const random = createRandom(SEED + 1 + i);
    // eslint-disable-next-line no-await-in-loop -- in order
    const engine = await startEngine({
      store,
      id: `i-model-${i}`,
      service: 'model',
      slots: 128,
      zone,
      record,
      answer: (req, res) => {
        const isUnframed = random() < UNFRAMED;
        runs.add(req.headers['request-id']);
        if (isUnframed)
          record({ what: 'answer without length', requestId: req.headers['request-id'] });
        return answerStream(req, res, { ...STREAM, isUnframed });
      },
    });
    onEnd(() => engine.close());
  }
  const fleet = await createFleet({ store, names: machines(3), record });
  onEnd(() => fleet.close());
  fleet.instances.forEach((instance) => fleet.start(instance));
  await Promise.all(fleet.instances.map((instance) => fleet.untilReady(instance)));
  await sleep(1_000);

  let isEnding = false;
  const ends = new Map(fleet.instances.map(({ name }) => [name, 0]));
  const reasons = new Set();

  /** Starts the process of a machine again whenever it has ended, as the platform does. */
  async function keepRunning(instance) {
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- until the next end
      await instance.exited;
      if (isEnding) return;
      ends.set(instance.name, ends.get(instance.name) + 1);
      // eslint-disable-next-line no-await-in-loop -- a short delay
      await sleep(RESTART_DELAY_MS);
      // eslint-disable-next-line no-await-in-loop -- after each end
      const log = await fleet.logOf(instance);
      log.split('\n').forEach((line) => {
        if (line.includes('assert')) reasons.add(line.trim());
      });
      if (!isEnding) fleet.start(instance);
    }
  }
  const keepers = fleet.instances.map(keepRunning);

  const agents = fleet.instances.map(() => createAgent(256));
  onEnd(() => agents.forEach((agent) => agent.destroy()));
  const random = createRandom(SEED);
  const sent = [];
  const playedFrom = Date.now();
  for (let i = 0; i < SECONDS * PER_SECOND; i += 1) {
    const at = i % fleet.instances.length;
    const headers = clientHeaders({
      deadlineMs: DEADLINE_MS,
      more: { Model: 'm', 'Token-Usage': '200,100', 'Prompt-Prefix': `e${i}:200` },
    });
    const requestId = headers['Request-Id'];
    const isTime = (Date.now() - playedFrom) % LEAVING_EVERY_MS < LEAVING_FOR_MS;
    const isLeaving = hasTrouble && isTime && random() < LEAVING;
    const { front: to, name: instance } = fleet.instances[at];
    const waitMs = isLeaving ? LEAVE_AFTER_MS : WAIT_MS;
    sent.push(
      send({ to, agent: agents[at], path: '/tag/2f', headers, body: 'prompt', waitMs }).then(
        ({ kind, status, afterMs, isKept }) => {
          record({ what: 'client', requestId, instance, kind, status, afterMs, isKept, isLeaving });
          return { kind, requestId, isKept, isLeaving };
        },
      ),
    );
    // eslint-disable-next-line no-await-in-loop -- one after the other
    await sleep(1_000 / PER_SECOND);
  }
  const ended = await Promise.all(sent);
  isEnding = true;
  await fleet.close();
  await Promise.all(keepers);
  const staying = ended.filter(({ isLeaving }) => !isLeaving);
  const lost = staying.filter(
    ({ kind, requestId, isKept }) => kind === 'closed' && isKept && runs.has(requestId),
  );
  const cut = staying.filter(({ kind }) => kind === 'cut');
  const endings = [...ends].map(([name, times]) => `${name} ${times}`).join(', ');
  return {
    isBroken: lost.length > MAX_LOST,
    summary: `processes that ended by themselves: ${endings} (${[...reasons].join('; ') || 'none'}); of ${staying.length} requests whose clients stayed, ${lost.length} on kept connections ran at a sound engine and got no answer, ${cut.length} were cut in their answers`,
  };
});
