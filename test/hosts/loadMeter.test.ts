import { expect } from 'chai';
import { createLoadMeter, type MeasuredLoad } from '../../src/hosts/routing/loadMeter.js';

describe('load meter', () => {
  /** Collects `count` readings; calls `onInterval` once per interval, before its reading is taken. */
  async function collect(
    count: number,
    onInterval: (
      meter: ReturnType<typeof createLoadMeter>,
      interval: number,
      advance: (ms: number) => void,
    ) => void,
  ): Promise<MeasuredLoad[]> {
    let now = 0;
    const advance = (ms: number) => {
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
            onInterval(meter, readings.length, advance);
            return;
          }
          resolve();
          queueMicrotask(meter.stop);
        },
      });
      onInterval(meter, 0, advance);
      meter.start();
      // The meter's timer is unreferenced and does not keep the process alive.
      const keepAliveTimer = setInterval(() => {
        if (readings.length >= count) clearInterval(keepAliveTimer);
      }, 5);
    });
    return readings;
  }

  it('resets its counters with each reading', async () => {
    const [first, second] = await collect(2, (meter, interval) => {
      if (interval > 0) return;
      meter.count('accepted');
      meter.count('accepted');
      meter.count('dead');
      meter.recordWait(7);
      meter.recordWait(3);
    });
    expect(first).to.include({ accepted: 2, dead: 1, read: 0, oldestMs: 7, utilization: 0.25 });
    expect(second).to.include({ accepted: 0, dead: 0, oldestMs: 0 });
  });

  it('measures the lag of the event loop', async () => {
    const [, second] = await collect(2, (_meter, interval, advance) => {
      // The second reading is due 5 ms after the first, so a delay of 905 ms is a lag of 900 ms.
      if (interval === 1) setImmediate(() => advance(905));
    });
    expect(second?.lagMs).to.equal(900);
  });
});
