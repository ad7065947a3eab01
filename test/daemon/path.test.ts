import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { answerText, bodyHash } from '../../src/standins/index.js';
import {
  sendCompletion,
  startTestFleet,
  parseStreamText,
  TEST_KEY,
  type TestFleet,
} from '../support/fleet.js';

async function until(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await sleep(5);
  await until(condition);
}

describe('request path', () => {
  let fleet: TestFleet;
  let url: string;
  before(async () => {
    fleet = await startTestFleet();
    url = fleet.urls[0] ?? '';
  });
  after(async () => fleet.close());

  it('streams the complete response of an engine to the caller', async () => {
    const res = await sendCompletion(url, 'what is a lease', { tokens: 20 });
    expect(res.status).to.equal(200);
    expect(res.headers.get('content-type')).to.equal('text/event-stream');
    expect(parseStreamText(await res.text())).to.equal(answerText('what is a lease', 20));
  });

  it('returns a response that is not streamed', async () => {
    const res = await sendCompletion(url, 'one body', { stream: false });
    const body = (await res.json()) as { choices: { message: { content: string } }[] };
    expect(body.choices[0]?.message.content).to.equal(answerText('one body', 5));
  });

  it('forwards a call to a plain service', async () => {
    const res = await fetch(`${url}/apps/app/book/7?x=1`, {
      method: 'PUT',
      headers: { authorization: `Bearer ${TEST_KEY}` },
      body: 'seven nets',
    });
    expect(await res.json()).to.deep.equal({
      method: 'PUT',
      path: '/book/7?x=1',
      bodyHash: bodyHash('seven nets'),
    });
  });

  it('aborts the attempt at the engine when the caller disconnects', async () => {
    const abort = new AbortController();
    const res = await sendCompletion(url, 'never read', { tokens: 500, signal: abort.signal });
    const runningAttempt = () =>
      fleet.engines[0]?.log().attempts.find(({ outcome }) => outcome === 'running');
    expect(runningAttempt()).to.not.equal(undefined);
    await res.body?.getReader().read();
    abort.abort();
    await until(() => runningAttempt() === undefined);
    await until(() => fleet.instances[0]?.core().state.requests.active.size === 0);
  });

  it('does not delay other streams for a slow caller', async () => {
    const slow = await sendCompletion(url, 'slow', { tokens: 40 });
    const others = ['a', 'b', 'c'].map(async (question) =>
      (await sendCompletion(url, question)).text(),
    );
    const texts = (await Promise.all(others)).map(parseStreamText);
    expect(texts).to.deep.equal(['a', 'b', 'c'].map((question) => answerText(question, 5)));
    expect(parseStreamText(await slow.text())).to.equal(answerText('slow', 40));
  });

  it('rejects an unknown model and an unknown path as not executed', async () => {
    const post = { method: 'POST', body: '{"model":"none"}' };
    const headers = { authorization: `Bearer ${TEST_KEY}` };
    const model = await fetch(`${url}/v1/completions`, { ...post, headers });
    expect(model.status).to.equal(404);
    expect(await model.json()).to.deep.include({
      executed: 'no',
      step: 'route',
      code: 1002,
      title: "No pool is named 'none'.",
    });
    const path = await fetch(`${url}/v2/completions`, { ...post, headers });
    expect(path.status).to.equal(404);
    expect(await path.json()).to.deep.include({ executed: 'no', code: 1012 });
  });

  it('serves the state of each component to operators', async () => {
    const status = await fetch(`${fleet.operatorUrls[0]}/status`);
    const body = (await status.json()) as { state: { requests: object; membership: object } };
    expect(body).to.include({ ready: true, id: 'i1', domain: 'd1' });
    expect(body.state).to.include.keys('requests', 'membership', 'dispatch', 'shares');
  });

  it('rejects an invalid key as not executed', async () => {
    const res = await sendCompletion(url, 'q', { headers: { authorization: 'Bearer wrong' } });
    expect(res.status).to.equal(401);
    expect(res.headers.get('content-type')).to.equal('application/problem+json');
    expect(await res.json()).to.deep.include({ executed: 'no', step: 'authenticate', code: 1001 });
  });

  it('serves health and readiness checks to operators', async () => {
    const operators = fleet.operatorUrls[0] ?? '';
    expect((await fetch(`${operators}/healthz`)).status).to.equal(200);
    expect((await fetch(`${operators}/readyz`)).status).to.equal(200);
  });
});
