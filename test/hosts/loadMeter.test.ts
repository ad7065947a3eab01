import { expect } from 'chai';
import { createLoadMeter, type MeasuredLoad } from '../../src/hosts/routing/loadMeter.js';

describe('load meter', () => {
  /** Collects readings while `during` is called once for each interval, before it ends. */
  async function collect(
    count: number,
    during: (
      meter: ReturnType<typeof createLoadMeter>,
      interval: number,
      pass: (ms: number) => void,
    ) => void,
  ): Promise<MeasuredLoad[]> {
    let now = 0;
    const pass = (ms: number) => {
      now += ms;
    };
    const readings: MeasuredLoad[] = [];
    await new Promise<void>((resolve) => {
      const meter = createLoadMeter({
        now: () => now,
        intervalMs: 5,
        utilization: () => 0.25,
        onReading: (reading) => {
          readings.push(reading);
          if (readings.length < count) {
            during(meter, readings.length, pass);
            return;
          }
          resolve();
          queueMicrotask(meter.stop);
        },
      });
      during(meter, 0, pass);
      meter.start();
      // The meter's own timer does not keep the process alive.
      const alive = setInterval(() => {
        if (readings.length >= count) clearInterval(alive);
      }, 5);
    });
    return readings;
  }

  it('counts each interval by itself', async () => {
    const [first, second] = await collect(2, (meter, interval) => {
      if (interval > 0) return;
      meter.count('accepted');
      meter.count('accepted');
      meter.count('dead');
      meter.noteAge(7);
      meter.noteAge(3);
    });
    expect(first).to.include({ accepted: 2, dead: 1, read: 0, oldestMs: 7, utilization: 0.25 });
    expect(second).to.include({ accepted: 0, dead: 0, oldestMs: 0 });
  });

  it('tells by how much the loop was late', async () => {
    const [, second] = await collect(2, (_meter, interval, pass) => {
      // The timer of the second interval was set for 5 ms after this one's end.
      if (interval === 1) setImmediate(() => pass(905));
    });
    expect(second?.lagMs).to.equal(900);
  });
});
