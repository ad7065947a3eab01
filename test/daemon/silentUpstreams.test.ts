import { expect } from 'chai';
import { answerText } from '../../src/standins/index.js';
import { sendCompletion, startTestFleet, parseStreamText } from '../support/fleet.js';

const REQUESTS = 16;

describe('an instance whose upstream connections stop responding', () => {
  it('completes every request, with the full response or with a 504 problem', async () => {
    const fleet = await startTestFleet({
      engines: [
        { seed: 1, tokenIntervalMs: 5 },
        { seed: 2, tokenIntervalMs: 5 },
      ],
      instance: { settings: { firstByteTimeoutMs: 1_000, idleTimeoutMs: 1_000 } },
    });
    const url = fleet.urls[0] ?? '';
    const askAll = async (name: string) =>
      Promise.all(
        Array.from({ length: REQUESTS }, async (_, i) => {
          const question = `${name} ${i}`;
          const res = await sendCompletion(url, question);
          return { question, status: res.status, text: await res.text() };
        }),
      );
    await askAll('leaves an idle connection');
    fleet.engines.forEach((engine) => engine.setFault({ kind: 'silent' }));
    const answers = await askAll('meets a silent connection');
    await fleet.close();
    answers.forEach(({ question, status, text }) => {
      if (status === 200) expect(parseStreamText(text)).to.equal(answerText(question, 5));
      else expect(JSON.parse(text)).to.include({ status: 504, executed: 'unknown' });
    });
  });
});
