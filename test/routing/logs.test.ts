import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import fc from 'fast-check';
import { explainRequest, formatLogLine, readLogLines } from '../../src/cli/explain.js';
import { createLineWriter } from '../../src/hosts/routing/lineWriter.js';
import { createRoutingLog } from '../../src/hosts/routing/routingLog.js';
import type { GapClock } from '../../src/hosts/routing/types.js';
import { createGapClock } from '../../src/hosts/routing/gapClock.js';
import { routingEvents, type RoutingEventCode } from '../../src/routing/eventTable.js';
import { createTestCore, effectsOf, planOf, type TestCore } from './support/core.js';

describe('routing core log', () => {
  const endings: readonly (readonly [string, RoutingEventCode, (core: TestCore) => unknown])[] = [
    ['no route', 'noRoute', (core) => core.arrive({ path: '/none/' })],
    ['an unknown key', 'unknownKey', (core) => core.arrive({ key: 'x' })],
    [
      'a stale configuration',
      'staleConfiguration',
      (core) => {
        core.dispatch({ kind: 'clockGap', gapMs: 60_000 });
        return core.arrive();
      },
    ],
    [
      'no upstream',
      'noUpstream',
      (core) => {
        const outcome = { kind: 'answered', cursor: 3, changes: [] } as const;
        const askedAt = core.now();
        core.dispatch({ kind: 'upstreamsPolled', askedAt, isWhole: true, outcome });
        return core.arrive();
      },
    ],
    ['overload', 'overload', (core) => core.arrive({ promptTokens: 900_000 })],
    [
      'a cut answer',
      'answerCut',
      (core) => {
        const { attempt } = planOf(core.arrive());
        const outcome = { kind: 'cut', reason: 'ECONNRESET' } as const;
        return core.dispatch({ kind: 'attemptEnded', attempt, outcome });
      },
    ],
    [
      'the time limit',
      'timedOut',
      (core) => {
        core.arrive();
        core.advance(10_000);
        return core.dispatch({ kind: 'timer', timer: 'health' });
      },
    ],
  ];
  endings.forEach(([what, code, end]) => {
    it(`writes the level, event and instance of the line for ${what}`, async () => {
      const core = createTestCore();
      let written = '';
      const log = createRoutingLog({
        instance: 'a',
        now: () => 0,
        timeOfDay: () => 0,
        writer: {
          writeBytes: (_fd, bytes, done) => {
            written += Buffer.from(bytes).toString();
            done(null);
          },
        },
      });
      const effects = end(core) as Parameters<typeof effectsOf>[0];
      effectsOf(effects, 'log').forEach((line) => log.write(line.level, line.code, line.fields));
      await log.flush();
      const lines = written
        .trim()
        .split('\n')
        .map((line) => JSON.parse(line) as Record<string, unknown>);
      expect(lines.find(({ event }) => event === code)).to.include({
        level: 'warn',
        event: code,
        instance: 'a',
      });
    });

    it(`logs exactly one decision, with its inputs, for ${what}`, () => {
      const core = createTestCore();
      const effects = end(core) as Parameters<typeof effectsOf>[0];
      const lines = effectsOf(effects, 'log').filter(
        ({ code: logged, fields }) =>
          routingEvents[logged].category === 'request' &&
          fields.request === 'r1' &&
          logged !== 'sent',
      );
      expect(lines.map((line) => line.code)).to.deep.equal([code]);
      const inputs = Object.values(lines[0]?.fields ?? {}).filter((value) => value !== undefined);
      expect(inputs.length).to.be.at.least(2);
    });
  });

  it('tells the parts of the expected time of which a refusal is the consequence', () => {
    const core = createTestCore();
    const refusal = effectsOf(core.arrive({ promptTokens: 900_000 }), 'log').find(
      ({ code }) => code === 'overload',
    );
    const { expectedMs, baseMs, queueMs, uncached } = refusal?.fields ?? {};
    expect(refusal?.fields).to.include.keys('surchargeMs');
    expect(uncached).to.equal(900_000);
    expect(Number(baseMs)).to.be.greaterThan(0);
    expect(Number(expectedMs)).to.be.greaterThan(Number(baseMs) + Number(queueMs));
  });

  it('tells each second what it has learnt of the speed of a pool', () => {
    const core = createTestCore();
    const measure = () =>
      effectsOf(
        core.dispatch({ kind: 'loadMeasured', reading: { utilization: 0, lagMs: 0, counts: {} } }),
        'log',
      ).filter(({ code }) => code === 'poolEstimated');
    expect(measure()).to.have.length(0);
    const { attempt } = planOf(core.arrive());
    core.advance(80);
    core.dispatch({ kind: 'attemptAnswered', attempt, status: 200 });
    core.dispatch({ kind: 'attemptProgress', attempt });
    const [line] = measure();
    expect(line?.fields).to.include({ baseMs: 80, idleness: 1 });
  });

  it('does not log keys', () => {
    const core = createTestCore();
    const effects = [...core.arrive(), ...core.arrive({ key: 'secret-key' })];
    expect(JSON.stringify(effectsOf(effects, 'log'))).to.not.match(/secret-key|key-of-a/);
  });

  it('traces a request across several files to the decision that ended it', () => {
    const line = (time: string, event: string, fields: object) =>
      JSON.stringify({ time: `2026-01-01T00:00:0${time}Z`, instance: 'a', event, ...fields });
    const files = [
      `noise\n${line('2.0', 'answerCut', { request: 'r1', upstream: 'i-1' })}\n`,
      `12.5 a ${line('1.0', 'sent', { request: 'r1', upstream: 'i-1' })}\n` +
        `${line('1.5', 'upstreamLost', { upstream: 'i-1', reason: 'silent' })}\n` +
        `${line('1.6', 'sent', { request: 'r2' })}\n`,
    ];
    const { way, ending, beliefs } = explainRequest('r1', files.flatMap(readLogLines));
    expect(way.map(({ event }) => event)).to.deep.equal(['sent', 'answerCut']);
    expect(ending?.event).to.equal('answerCut');
    expect(beliefs.map(formatLogLine)).to.deep.equal([
      '2026-01-01T00:00:01.5Z a upstreamLost: An upstream does not respond. upstream=i-1 reason=silent',
    ]);
  });
});

describe('a request that is refused as crashing', () => {
  it('is traced to the crashes, however long ago, and not to those of other parts', () => {
    const line = (time: string, event: string, fields: object) =>
      JSON.stringify({ time: `2026-01-01T00:0${time}.0Z`, instance: 'a', event, ...fields });
    const log = [
      line('1:00', 'causeBlocked', { cause: 7, part: 'ab', crashes: 3 }),
      line('1:30', 'causeBlocked', { cause: 8, part: 'cd', crashes: 3 }),
      line('5:00', 'crashesUpstreams', { request: 'r1', cause: 7, part: 'ab', crashes: 3 }),
    ].join('\n');
    const { ending, beliefs } = explainRequest('r1', readLogLines(log));
    expect(ending?.event).to.equal('crashesUpstreams');
    expect(beliefs.map(({ fields }) => fields.part)).to.deep.equal(['ab']);
  });

  it('is traced over its trial to its end', () => {
    const line = (time: string, event: string) =>
      JSON.stringify({
        time: `2026-01-01T00:00:0${time}.0Z`,
        instance: 'a',
        event,
        request: 'r1',
      });
    const log = ['triedAgain', 'sent', 'served'].map((event, i) => line(String(i), event));
    expect(explainRequest('r1', readLogLines(log.join('\n'))).ending?.event).to.equal('served');
  });
});

describe('log line writer', () => {
  it('never waits for a blocked reader, and counts the lines that it drops', async () => {
    let writes = 0;
    const writer = createLineWriter({
      fd: 1,
      now: () => 0,
      maxBufferedBytes: 1_000,
      omittedLine: (count) => `omitted ${count}`,
      writeBytes: () => {
        writes += 1;
      },
    });
    for (let i = 0; i < 300; i += 1) writer.write('x'.repeat(100), 'failure');
    await sleep(80);
    for (let i = 0; i < 300; i += 1) writer.write('x'.repeat(100), 'failure');
    expect(writes).to.equal(1);
    expect(writer.omitted()).to.be.at.least(580);
  });

  it('limits each class of lines per second, with a larger budget for failures', async () => {
    let written = '';
    let now = 0;
    const log = createRoutingLog({
      instance: 'a',
      now: () => now,
      timeOfDay: () => 0,
      writer: {
        budgets: { expected: 5, failure: 10 },
        writeBytes: (_fd, bytes, done) => {
          written += Buffer.from(bytes).toString();
          done(null);
        },
      },
    });
    const flood = () => {
      for (let i = 0; i < 100; i += 1) {
        log.write('info', 'served', { request: `r${i}` });
        log.write('warn', 'overload', { request: `r${i}` });
      }
    };
    flood();
    now = 1_000;
    flood();
    await log.flush();
    const events = readLogLines(written).map(({ event }) => event);
    expect(events.filter((event) => event === 'served')).to.have.length(10);
    expect(events.filter((event) => event === 'overload')).to.have.length(20);
    expect(events).to.include('linesOmitted');
    expect(log.omitted()).to.equal(370);
  });
});

describe('gap clock', () => {
  const gapOf = (clock: GapClock) => clock.takeGap()?.ms ?? 0;

  function createClocks() {
    const at = { monotonic: 0, timeOfDay: 1_000_000, boot: 50_000 };
    const clock = createGapClock({
      monotonic: () => at.monotonic,
      timeOfDay: () => at.timeOfDay,
      sinceBoot: () => at.boot,
    });
    const pass = (monotonic: number, timeOfDay: number, boot: number) => {
      at.monotonic += monotonic;
      at.timeOfDay += timeOfDay;
      at.boot += boot;
      return gapOf(clock);
    };
    return pass;
  }

  it('detects a suspension by the time of day or by the time since boot', () => {
    expect(createClocks()(10, 5_010, 5_010)).to.equal(5_000);
    expect(createClocks()(250, 250, 5_250)).to.equal(5_000);
  });

  it('reports a gap if the time of day is set ahead, but not if it is set back', () => {
    expect(createClocks()(10, 2_010, 10)).to.equal(2_000);
    expect(createClocks()(10, -2_000, 10)).to.equal(0);
  });

  it('reports no gap if the time since boot has a resolution of whole seconds', () => {
    const at = { monotonic: 400, boot: 0 };
    const clock = createGapClock({
      monotonic: () => at.monotonic,
      timeOfDay: () => 1_000_000 + at.monotonic,
      sinceBoot: () => Math.floor((7_300 + at.monotonic + at.boot) / 1_000) * 1_000,
    });
    for (let i = 0; i < 200; i += 1) {
      at.monotonic += 70;
      expect(gapOf(clock)).to.equal(0);
    }
    // A suspension is still detected.
    at.boot += 5_000;
    at.monotonic += 300;
    expect(gapOf(clock)).to.be.within(4_000, 6_000);
  });

  it('reports no gap if the process is descheduled between two clock readings', () => {
    // The process is descheduled for its earlier CPU use at a system call, such as a clock reading.
    const at = { monotonic: 400, due: 0 };
    const read = (clock: number) => {
      at.monotonic += at.due;
      at.due = 0;
      return clock + at.monotonic;
    };
    const clock = createGapClock({
      monotonic: () => at.monotonic,
      timeOfDay: () => read(1_000_000),
      sinceBoot: () => Math.floor(read(7_300) / 1_000) * 1_000,
    });
    for (let i = 0; i < 200; i += 1) {
      at.monotonic += 70;
      at.due = 100 + (i % 7) * 90;
      expect(gapOf(clock)).to.equal(0);
    }
  });

  it('reports no gap if the monotonic clock lags during a long event loop iteration', () => {
    // Apparent gaps of 1,100 to 1,530 ms were observed on one day. They came from the resolution of
    // whole seconds together with a monotonic clock that was up to 0.6 s behind.
    const at = { time: 650, lag: 0 };
    const clock = createGapClock({
      monotonic: () => at.time - at.lag,
      timeOfDay: () => 1_000_000 + at.time - at.lag,
      sinceBoot: () => Math.floor((7_300 + at.time) / 1_000) * 1_000,
    });
    for (let i = 0; i < 400; i += 1) {
      at.time += 1_137;
      at.lag = i % 3 === 0 ? 590 : 0;
      expect(gapOf(clock)).to.equal(0);
    }
    at.time += 3_000;
    expect(gapOf(clock)).to.equal(0);
  });

  it('detects a suspension that coincides with descheduling', () => {
    const at = { monotonic: 400, due: 0, suspended: 0 };
    const read = (clock: number) => {
      at.monotonic += at.due;
      at.due = 0;
      return clock + at.monotonic + at.suspended;
    };
    const clock = createGapClock({
      monotonic: () => at.monotonic,
      timeOfDay: () => read(1_000_000),
      sinceBoot: () => read(7_300),
    });
    at.monotonic += 300;
    at.due = 700;
    at.suspended += 3_000;
    expect(gapOf(clock)).to.be.within(2_900, 3_100);
  });

  it('reports no gap and distrusts the time since boot if it runs at a different rate', () => {
    // Recorded leads of the time since boot over the monotonic clock, at checks 0.2 s apart, on a
    // day whose replay was slow.
    const leads = [
      0, 1_787, 3_475, 5_603, 6_892, 6_801, 6_681, 7_421, 8_698, 9_487, 9_603, 9_810, 10_127,
      10_202, 10_351, 10_298, 10_768, 11_446, 11_505, 11_735, 11_960, 12_150, 12_489, 12_974,
    ];
    const at = { monotonic: 400, lead: 0 };
    const clock = createGapClock({
      monotonic: () => at.monotonic,
      timeOfDay: () => 1_000_000 + at.monotonic,
      sinceBoot: () => 7_300 + at.monotonic + at.lead,
    });
    leads.forEach((lead) => {
      at.monotonic += 210;
      at.lead = lead;
      expect(gapOf(clock)).to.equal(0);
    });
    expect(clock.isBootTrusted()).to.equal(false);
  });

  it('reports at most one gap if the time since boot runs faster or slower', () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0.1, max: 8, noNaN: true }),
        fc.integer({ min: 20, max: 1_500 }),
        (rate, intervalMs) => {
          let monotonic = 400;
          const clock = createGapClock({
            monotonic: () => monotonic,
            timeOfDay: () => 1_000_000 + monotonic,
            sinceBoot: () => 7_300 + monotonic * rate,
          });
          let gaps = 0;
          for (let i = 0; i < 500; i += 1) {
            monotonic += intervalMs;
            if (gapOf(clock) > 0) gaps += 1;
          }
          expect(gaps).to.be.at.most(1);
        },
      ),
      { seed: 19, numRuns: 200 },
    );
  });

  it('does not miss a suspension once the time since boot is distrusted', () => {
    const at = { monotonic: 400, day: 1_000_000, boot: 0 };
    const clock = createGapClock({
      monotonic: () => at.monotonic,
      timeOfDay: () => at.day + at.monotonic,
      sinceBoot: () => 7_300 + at.monotonic * 3,
    });
    for (let i = 0; i < 20; i += 1) {
      at.monotonic += 300;
      clock.takeGap();
    }
    expect(clock.isBootTrusted()).to.equal(false);
    // A suspension of 3 s shows in the time of day.
    at.day += 3_000;
    expect(gapOf(clock)).to.equal(3_000);
    // Suspended while the time of day was set back by more: the length of the gap is unknown.
    at.day -= 1_000;
    expect(gapOf(clock)).to.be.at.least(60_000);
  });

  it('reports no gap while the clocks advance normally', () => {
    const pass = createClocks();
    for (let i = 0; i < 100; i += 1) expect(pass(50, 50 + (i % 3), 50)).to.equal(0);
  });
});
