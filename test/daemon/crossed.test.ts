import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { Agent, request } from 'undici';
import type { Instance } from '../../src/daemon/instance.js';
import { answerText } from '../../src/standins/index.js';
import { startTestFleet, parseStreamText, TEST_KEY, type TestFleet } from '../support/fleet.js';

/** Number of concurrent requests. `WIDE_REQUESTS` overrides it; the limit on open files bounds it. */
const REQUESTS = Number(process.env.WIDE_REQUESTS ?? 2_000);
const INSTANCES = 5;
const ENGINES = 8;
const TOKENS = 6;
const WARM_UP_REQUESTS = 1_000;
/** A tenth of an instance's requests get a crossed reply; the retry budget allows for twice that. */
const MIN_BUDGET = (REQUESTS / INSTANCES) * 0.2;

async function until(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await sleep(20);
  await until(condition);
}

// Guards against a caller receiving another caller's output: engines send a reply on the connection
// of another request (crossed) or with a delay (late).
describe('a fleet whose engines send crossed and late replies', () => {
  let fleet: TestFleet;
  const agent = new Agent();
  before(async () => {
    const engine = { batchSize: 64, tokenIntervalMs: 5, prefillTokensPerSecond: 1e9 };
    fleet = await startTestFleet({
      instances: INSTANCES,
      engines: Array.from({ length: ENGINES }, (_, i) => ({ ...engine, seed: i + 1 })),
      // Each crossed reply costs a retry, and the default retry budget would fail some requests.
      instance: { settings: { retryRatio: 1 } },
      // All callers belong to one customer. Between two reports each instance uses only its share of
      // the remaining limit, so the limit must exceed the load of all instances on a single one.
      waitingRequests: INSTANCES * REQUESTS,
    });
    await Promise.all(
      Array.from({ length: WARM_UP_REQUESTS }, async (_, i) => {
        await requestAnswer(`warm-up ${i}`, fleet.urls[i % INSTANCES] ?? '');
      }),
    );
    // The retry budget grows with the requests of previous windows.
    const getRetryBudget = (instance: Instance) => instance.core().state.retries.tokens;
    await until(() => fleet.instances.every((instance) => getRetryBudget(instance) >= MIN_BUDGET));
    fleet.engines.forEach(({ setFault }, i) => {
      setFault({ kind: 'crossed', rate: 0.05, at: i % 2 === 0 ? 'head' : 'middle' });
      setFault({ kind: 'late', rate: 0.05, delayMs: 300 });
    });
  });
  after(async () => {
    await agent.close();
    await fleet.close();
  });

  async function requestAnswer(question: string, url: string): Promise<string> {
    const { statusCode, body } = await request(`${url}/v1/chat/completions`, {
      dispatcher: agent,
      method: 'POST',
      headers: { authorization: `Bearer ${TEST_KEY}` },
      body: JSON.stringify({
        model: 'chat',
        stream: true,
        max_tokens: TOKENS,
        messages: [{ role: 'user', content: question }],
      }),
    });
    let text = '';
    try {
      for await (const part of body.setEncoding('utf8')) text += part;
    } catch (err) {
      // The partial body contains the reason for the failure.
      throw new Error(`${(err as Error).message} after ${JSON.stringify(text)}`);
    }
    return statusCode === 200 ? parseStreamText(text) : `status ${statusCode}: ${text}`;
  }

  it(`gives each of ${REQUESTS} concurrent callers its own complete answer`, async () => {
    const questions = Array.from({ length: REQUESTS }, (_, i) => `question ${i}`);
    const mismatches: string[] = [];
    await Promise.all(
      questions.map(async (question, i) => {
        const url = fleet.urls[i % fleet.urls.length] ?? '';
        const text = await requestAnswer(question, url).catch((err: Error) => err.message);
        if (text !== answerText(question, TOKENS)) mismatches.push(`${question}: ${text}`);
      }),
    );
    expect(mismatches.slice(0, 5)).to.deep.equal([]);
    const attempts = fleet.engines.reduce((sum, { log }) => sum + log().attempts.length, 0);
    expect(attempts, 'no reply was crossed').to.be.greaterThan(REQUESTS);
  });
});
