import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { expect } from 'chai';
import { createManualClock } from '../../src/core/clock.js';
import { createLogger } from '../../src/hosts/logger.js';
import { createMetrics } from '../../src/hosts/metrics.js';

const ENTRY = {
  at: 0,
  who: 'ana',
  action: 'publish',
  subject: 'pools',
  accepted: true,
  detail: '',
};

describe('log', () => {
  function createTestLogger(format: 'text' | 'json', threshold: 'info' | 'error') {
    const lines: string[] = [];
    const writeLine = (line: string) => lines.push(line);
    const clock = createManualClock(0);
    return { lines, logger: createLogger({ instance: 'a', clock, threshold, format, writeLine }) };
  }

  it('writes text lines with time, instance and component', () => {
    const { lines, logger } = createTestLogger('text', 'info');
    logger.write('info', 'daemon', 'stopped', { id: 'a' });
    logger.write('debug', 'daemon', 'stopped', { id: 'a' });
    logger.audit(ENTRY);
    expect(lines).to.deep.equal([
      '1970-01-01T00:00:00.000Z a daemon:       Instance a has stopped.',
      '1970-01-01T00:00:00.000Z a audit:        publish pools by ana accepted.',
    ]);
  });

  it('writes JSON and applies the threshold of each logger separately', () => {
    const infoLog = createTestLogger('json', 'info');
    const errorLog = createTestLogger('json', 'error');
    [infoLog, errorLog].forEach(({ logger }) =>
      logger.write('info', 'peers', 'stopped', { id: 'b' }),
    );
    expect(errorLog.lines).to.deep.equal([]);
    expect(JSON.parse(infoLog.lines[0] ?? '')).to.include({ part: 'peers', code: 'stopped' });
  });
});

describe('metrics', () => {
  it('are sent over UDP with the tags of the instance', async () => {
    const receiver = createSocket('udp4').bind(0, '127.0.0.1');
    await once(receiver, 'listening');
    const { port } = receiver.address();
    const metrics = createMetrics({ address: `127.0.0.1:${port}`, tags: { instance: 'a' } });
    metrics.count('requests', 3, { pool: 'chat' });
    const closed = metrics.close();
    const [packet] = (await once(receiver, 'message')) as [Buffer];
    await closed;
    receiver.close();
    expect(packet.toString()).to.match(/^primroseswitch\.requests:3\|c\|#/);
    expect(packet.toString()).to.include('instance:a').and.to.include('pool:chat');
  });

  it('are disabled without an address', async () => {
    const metrics = createMetrics({ tags: {} });
    metrics.count('requests', 1, {});
    await metrics.close();
  });
});
