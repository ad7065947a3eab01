import { expect } from 'chai';
import {
  answerText,
  createEngineStandin,
  type EngineOptions,
  type EngineStandin,
} from '../../src/standins/index.js';
import {
  createChatBody,
  catchRejection,
  NO_DELAY_OPTIONS,
  postCompletion,
  readChunks,
  readJson,
  joinTokens,
  until,
} from './helpers.js';
import type { Completion } from './helpers.js';

describe('faults of the engine stand-in', () => {
  let engine: EngineStandin;
  const start = async (options: EngineOptions = {}) => {
    engine = await createEngineStandin({ ...NO_DELAY_OPTIONS, ...options });
  };
  afterEach(async () => engine.stop());

  const ask = async (id: string) =>
    readJson<Completion>(
      await postCompletion(engine, createChatBody(id, false), { 'x-request-id': id }),
    );

  it('crashes, resets its streams and restarts on the same port without its cache', async () => {
    await start({ tokenIntervalMs: 1 });
    const stream = await postCompletion(
      engine,
      createChatBody('cut by the crash', true, 1_000_000),
    );
    const epoch = engine.load().cacheEpoch;
    engine.setFault({ kind: 'crash', restartAfterMs: 0 });
    expect(await catchRejection(stream.text())).to.be.instanceOf(Error);
    await until(engine.isListening);
    expect(
      joinTokens(await readChunks(await postCompletion(engine, createChatBody('after', true)))),
    ).to.equal(answerText('after', 8));
    expect(engine.load().cacheEpoch).to.be.above(epoch);
    expect(engine.log().attempts[0]?.outcome).to.equal('crashed');
  });

  it('crashes each time it executes a poisoned request', async () => {
    await start();
    engine.setFault({ kind: 'poison', marker: 'POISON', restartAfterMs: 0 });
    const poisoned = async () => {
      expect(await catchRejection(ask('POISON 1'))).to.be.instanceOf(Error);
      await until(engine.isListening);
    };
    await poisoned();
    await poisoned();
    await ask('innocent');
    expect(engine.log().crashes.map(({ poisonedBy }) => poisonedBy)).to.deep.equal([
      'POISON 1',
      'POISON 1',
    ]);
  });

  it('answers no requests while it hangs, except on control paths', async () => {
    await start();
    engine.setFault({ kind: 'hang' });
    let answered = false;
    const waiting = ask('a').then((answer) => {
      answered = true;
      return answer;
    });
    const control = `${engine.url}/_control/faults`;
    const body = JSON.stringify({ kind: 'clear' });
    await until(() => engine.isListening());
    expect(answered).to.equal(false);
    expect((await fetch(control, { method: 'POST', body })).status).to.equal(200);
    expect((await waiting).choices[0].message.content).to.equal(answerText('a', 8));
  });

  it('sends nothing on silenced connections and serves new ones', async () => {
    await start({ tokenIntervalMs: 1 });
    const abort = new AbortController();
    const stream = await fetch(`${engine.url}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify(createChatBody('silent', true, 50)),
      signal: abort.signal,
    });
    engine.setFault({ kind: 'silent' });
    let ended = false;
    const text = stream.text().then(
      () => {
        ended = true;
      },
      () => {},
    );
    await until(() => engine.log().attempts[0]?.outcome === 'finished');
    expect((await ask('new connection')).id).to.equal('new connection');
    expect(ended).to.equal(false);
    abort.abort();
    await text;
  });

  it('sends an answer with the id of the request it belongs to when answers are crossed', async () => {
    await start({ batchSize: 2, tokenIntervalMs: 1 });
    engine.setFault({ kind: 'crossed', rate: 1 });
    const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
    const answers = await Promise.all(ids.map(ask));
    expect(answers.filter((answer, i) => answer.id !== ids[i])).to.not.be.empty;
    answers.forEach((answer) => {
      expect(answer.choices[0].message.content).to.equal(answerText(answer.id, 8));
    });
  });

  it('continues a stream with the tokens of another stream', async () => {
    await start({ batchSize: 2, tokenIntervalMs: 2 });
    engine.setFault({ kind: 'crossed', rate: 1, at: 'middle' });
    const streams = await Promise.all(
      ['a', 'b'].map(async (id) =>
        readChunks(await postCompletion(engine, createChatBody(id, true, 40))),
      ),
    );
    expect(streams.some((chunks) => new Set(chunks.map(({ id }) => id)).size > 1)).to.equal(true);
  });

  (['reset', 'close'] as const).forEach((ending) => {
    it(`cuts a stream before its end by ${ending}`, async () => {
      await start();
      engine.setFault({ kind: 'cut', rate: 1, ending });
      const read = postCompletion(engine, createChatBody('cut', true, 100)).then(async (res) =>
        res.text(),
      );
      const failure = await catchRejection(read);
      if (ending === 'reset') expect(failure).to.be.instanceOf(Error);
      else expect(await read).to.not.include('[DONE]');
      expect(engine.log().attempts[0]?.outcome).to.equal('cut');
    });
  });

  it('delays answers but completes them', async () => {
    await start();
    engine.setFault({ kind: 'late', rate: 1, delayMs: 20 });
    const chunks = await readChunks(await postCompletion(engine, createChatBody('late', true)));
    expect(joinTokens(chunks)).to.equal(answerText('late', 8));
  });

  it('injects the same faults with the same seed', async () => {
    const cutsOf = async () => {
      await start({ seed: 42 });
      engine.setFault({ kind: 'cut', rate: 0.5, ending: 'close' });
      const ids = Array.from({ length: 20 }, (_, i) => `q${i}`);
      await ids.reduce(
        async (before, id) => before.then(async () => ask(id).catch(() => undefined)),
        Promise.resolve<unknown>(undefined),
      );
      const outcomes = engine.log().attempts.map(({ outcome, to }) => `${outcome} ${to}`);
      await engine.stop();
      return outcomes;
    };
    const first = await cutsOf();
    expect(first).to.include('finished 8');
    expect(await cutsOf()).to.deep.equal(first);
  });
});
