/**
 * `npm run bench:live`: measures instance processes against engine stand-ins that run in separate
 * processes. Options: `--only latency|streams|crossed`, `--calls N`, `--streams N`, `--interval MS`,
 * `--seconds N`, `--direct`, `--requests N`.
 */
import { parseArgs } from 'node:util';
import { formatColumns } from '../../cli/output.js';
import { MS_PER_SECOND } from '../../core/clock.js';
import { readRevision } from '../support/revision.js';
import { measureCrossed } from './crossed.js';
import { measureLatency } from './latency.js';
import { measureStreams } from './streams.js';

const BYTES_PER_KIB = 1_024;
const BYTES_PER_MIB = 1_024 ** 2;

const { values } = parseArgs({
  options: {
    only: { type: 'string' },
    seconds: { type: 'string', default: '30' },
    streams: { type: 'string', default: '1000' },
    interval: { type: 'string', default: '50' },
    calls: { type: 'string', default: '400' },
    requests: { type: 'string', default: '10000' },
    direct: { type: 'boolean', default: false },
  },
});

console.log(`revision ${readRevision()}`);
const isWanted = (name: string) => values.only === undefined || values.only === name;
if (isWanted('latency')) await showLatency();
if (isWanted('streams')) await showStreams();
if (isWanted('crossed')) await showCrossed();

async function showLatency(): Promise<void> {
  const calls = Number(values.calls);
  const { direct, viaInstance } = await measureLatency({ calls, tokens: 8, tokenIntervalMs: 5 });
  const row = (name: string, pick: (key: keyof typeof direct) => number) => [
    name,
    ...(['firstP50', 'totalP50', 'gapP50', 'gapP95'] as const).map((key) => pick(key).toFixed(2)),
  ];
  const head = ['ms', 'first part p50', 'total p50', 'between tokens p50', 'between tokens p95'];
  console.log(
    formatColumns([
      head,
      row('direct', (key) => direct[key]),
      row('through an instance', (key) => viaInstance[key]),
      row('added', (key) => viaInstance[key] - direct[key]),
    ]),
  );
}

async function showStreams(): Promise<void> {
  const result = await measureStreams({
    streams: Number(values.streams),
    engines: 2,
    tokenIntervalMs: Number(values.interval),
    tokensPerStream: 200,
    seconds: Number(values.seconds),
    isDirect: values.direct,
  });
  console.log(
    formatColumns([
      ['token events/s', result.eventsPerSecond.toFixed(0)],
      ['answers, broken answers', `${result.answers}, ${result.broken}`],
      [
        'between tokens p50/p95/p99 ms',
        [result.gapP50, result.gapP95, result.gapP99].map((gap) => gap.toFixed(1)).join(' / '),
      ],
      ['processor use of the instance, cores', result.cpuShare.toFixed(2)],
      ['idle memory MiB', (result.idleBytes / BYTES_PER_MIB).toFixed(1)],
      ['memory per stream KiB', (result.bytesPerStream / BYTES_PER_KIB).toFixed(1)],
      ['resident memory growth KiB/min', (result.residentSlope / BYTES_PER_KIB).toFixed(1)],
      ['heap growth after collection KiB/min', (result.heapSlope / BYTES_PER_KIB).toFixed(1)],
    ]),
  );
}

async function showCrossed(): Promise<void> {
  const requests = Number(values.requests);
  const result = await measureCrossed({ requests, instances: 5, engines: 8 });
  console.log(
    formatColumns([
      ['concurrent callers', String(requests)],
      ['correct answers', String(result.correct)],
      ['explicit errors', String(result.failed)],
      ['wrong or incomplete answers', String(result.wrong.length)],
      ['attempts on engines', String(result.attempts)],
      ['seconds', (result.elapsedMs / MS_PER_SECOND).toFixed(1)],
    ]),
  );
  if (result.correct < requests) process.exitCode = 1;
}
