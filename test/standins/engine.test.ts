import { expect } from 'chai';
import {
  answerText,
  createEngineStandin,
  type EngineOptions,
  type EngineStandin,
} from '../../src/standins/index.js';

const FAST: EngineOptions = { tokenIntervalMs: 0, prefillTokensPerSecond: Infinity };

interface Chunk {
  readonly id: string;
  readonly choices: readonly [{ readonly delta: { readonly content?: string } }];
}

async function post(engine: EngineStandin, body: object, headers: Record<string, string> = {}) {
  return fetch(`${engine.url}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify(body),
  });
}

const ask = (text: string, stream: boolean, maxTokens = 8) => ({
  model: 'm',
  messages: [{ role: 'user', content: text }],
  stream,
  max_tokens: maxTokens,
});

/** Events of a stream without its end mark, which must be there. */
async function readChunks(res: Response): Promise<Chunk[]> {
  const events = (await res.text()).split('\n\n').filter((event) => event !== '');
  expect(events.pop()).to.equal('data: [DONE]');
  return events.map((event) => JSON.parse(event.slice('data: '.length)) as Chunk);
}

const textOf = (chunks: readonly Chunk[]) =>
  chunks.map((chunk) => chunk.choices[0].delta.content ?? '').join('');

describe('engine stand-in', () => {
  let engine: EngineStandin;
  const start = async (options: EngineOptions = {}) => {
    engine = await createEngineStandin({ ...FAST, ...options });
  };
  afterEach(async () => engine.stop());

  it('streams one token per event under the request id', async () => {
    await start();
    const res = await post(engine, ask('hail nets', true), { 'x-request-id': 'r1' });
    const chunks = await readChunks(res);
    expect(res.headers.get('x-request-id')).to.equal('r1');
    expect(new Set(chunks.map((chunk) => chunk.id))).to.deep.equal(new Set(['r1']));
    expect(chunks).to.have.length(8 + 1);
    expect(textOf(chunks)).to.equal(answerText('hail nets', 8));
  });

  it('starts at the token named by X-Resume-From', async () => {
    await start();
    const res = await post(engine, ask('rota', true), { 'x-resume-from': '5' });
    expect(textOf(await readChunks(res))).to.equal(answerText('rota', 8, 5));
  });

  it('gives concurrent callers their own answers within the batch', async () => {
    await start({ batchSize: 3 });
    const questions = Array.from({ length: 40 }, (_, i) => `question ${i}`);
    const answers = await Promise.all(
      questions.map(async (question) => {
        const res = await post(engine, ask(question, false));
        const body = (await res.json()) as { choices: [{ message: { content: string } }] };
        return body.choices[0].message.content;
      }),
    );
    expect(answers).to.deep.equal(questions.map((question) => answerText(question, 8)));
    expect(engine.log().every((attempt) => attempt.outcome === 'finished')).to.equal(true);
  });

  it('refuses a body that is not JSON', async () => {
    await start();
    const res = await fetch(`${engine.url}/v1/completions`, { method: 'POST', body: '{x' });
    expect(res.status).to.equal(400);
  });
});
