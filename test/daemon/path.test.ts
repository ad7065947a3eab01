import { expect } from 'chai';
import { answerText, bodyHash } from '../../src/standins/index.js';
import { ask, startTestFleet, streamedText, TEST_KEY, type TestFleet } from '../support/fleet.js';

describe('path of a request', () => {
  let fleet: TestFleet;
  let url: string;
  before(async () => {
    fleet = await startTestFleet();
    url = fleet.urls[0] ?? '';
  });
  after(async () => fleet.close());

  it('streams the whole answer of an engine to the caller', async () => {
    const res = await ask(url, 'what is a lease', { tokens: 20 });
    expect(res.status).to.equal(200);
    expect(res.headers.get('content-type')).to.equal('text/event-stream');
    expect(streamedText(await res.text())).to.equal(answerText('what is a lease', 20));
  });

  it('returns an answer that is not streamed', async () => {
    const res = await ask(url, 'one body', { stream: false });
    const body = (await res.json()) as { choices: { message: { content: string } }[] };
    expect(body.choices[0]?.message.content).to.equal(answerText('one body', 5));
  });

  it('passes a call on to a plain service', async () => {
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

  it('refuses a wrong key as not run', async () => {
    const res = await ask(url, 'q', { headers: { authorization: 'Bearer wrong' } });
    expect(res.status).to.equal(401);
    expect(res.headers.get('content-type')).to.equal('application/problem+json');
    expect(await res.json()).to.deep.include({ executed: 'no', step: 'authenticate', code: 1001 });
  });

  it('answers health and readiness to operators', async () => {
    const operators = fleet.operatorUrls[0] ?? '';
    expect((await fetch(`${operators}/healthz`)).status).to.equal(200);
    expect((await fetch(`${operators}/readyz`)).status).to.equal(200);
  });
});
