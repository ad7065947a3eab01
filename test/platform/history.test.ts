import { expect } from 'chai';
import { summarizeHistory } from '../../platform/history.js';
import type { KeyedRecord } from '../../platform/storeClient.js';

const BEAT_MS = 1_000;

function entry(key: string, version: string, beat: number): KeyedRecord {
  const fields = { Service: 'models', Address: '10.0.0.1:80', Zone: 'a', Slots: 8, State: 'ready' };
  const value = Buffer.from(JSON.stringify({ ...fields, Version: version, Seq: beat, born: 1 }));
  return { key, value };
}

const removal = (key: string): KeyedRecord => ({ key, value: undefined });
const beats = (key: string, version: string, from: number, count: number) =>
  Array.from({ length: count }, (_, i) => entry(key, version, from + i));

describe('the history of the engine registrations', () => {
  it('covers all time if nothing of it is missing', () => {
    const history = summarizeHistory([entry('e1', 'v1', 1)], true, BEAT_MS);
    expect(history.coversMs).to.equal(Infinity);
    expect(history.mentions).to.deep.equal([{ pool: 'models', version: 'v1', ageMs: 0 }]);
  });

  it('covers no more than the engines have counted, less one interval and their jitter', () => {
    const { coversMs } = summarizeHistory(beats('e1', 'v1', 500, 21), false, BEAT_MS);
    expect(coversMs).to.be.within(15_000, 20_000);
  });

  it('covers nothing that can be told without the interval, or with a single record', () => {
    expect(summarizeHistory(beats('e1', 'v1', 1, 20), false, 0).coversMs).to.equal(0);
    expect(summarizeHistory([entry('e1', 'v1', 9)], false, BEAT_MS).coversMs).to.equal(0);
    expect(summarizeHistory([], false, BEAT_MS).coversMs).to.equal(0);
  });

  it('tells of a version whose engine has left since, and for how long at least', () => {
    const records = [
      entry('e1', 'v1', 7),
      entry('e2', 'v2', 1),
      removal('e1'),
      ...beats('e2', 'v2', 2, 10),
    ];
    const { mentions } = summarizeHistory(records, false, BEAT_MS);
    const [former] = mentions.filter(({ version }) => version === 'v1');
    expect(former?.ageMs).to.be.within(5_000, 10_000);
  });

  it('does not take the restart of an engine for time that has passed', () => {
    const again = Buffer.from(
      JSON.stringify({
        Service: 'models',
        Address: '10.0.0.1:80',
        Zone: 'a',
        Version: 'v1',
        Slots: 8,
        State: 'ready',
        Seq: 900,
        born: 2,
      }),
    );
    const records = [entry('e1', 'v1', 1), { key: 'e1', value: again }];
    expect(summarizeHistory(records, false, BEAT_MS).coversMs).to.equal(0);
  });
});
