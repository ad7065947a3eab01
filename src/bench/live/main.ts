/**
 * `npm run bench:live`: measures one instance process against engine stand-ins in processes of
 * their own. `--only latency|streams`, `--seconds N`, `--streams N`, `--direct`.
 */
import { parseArgs } from 'node:util';
import { formatColumns } from '../../cli/output.js';
import { readRevision } from '../support/revision.js';
import { measureLatency } from './latency.js';
import { measureStreams } from './streams.js';

const BYTES_PER_KIB = 1_024;
const BYTES_PER_MIB = 1_024 ** 2;

const { values } = parseArgs({
  options: {
    only: { type: 'string' },
    seconds: { type: 'string', default: '30' },
    streams: { type: 'string', default: '1000' },
    calls: { type: 'string', default: '400' },
    direct: { type: 'boolean', default: false },
  },
});

console.log(`revision ${readRevision()}`);
if (values.only !== 'streams') await showLatency();
if (values.only !== 'latency') await showStreams();

async function showLatency(): Promise<void> {
  const calls = Number(values.calls);
  const { direct, viaInstance } = await measureLatency({ calls, tokens: 8, tokenIntervalMs: 5 });
  const row = (name: string, pick: (key: keyof typeof direct) => number) => [
    name,
    ...(['firstP50', 'totalP50', 'gapP50', 'gapP95'] as const).map((key) => pick(key).toFixed(2)),
  ];
  const head = ['ms', 'first part p50', 'whole p50', 'between tokens p50', 'between tokens p95'];
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
    tokenIntervalMs: 50,
    tokensPerStream: 200,
    seconds: Number(values.seconds),
    isDirect: values.direct,
  });
  console.log(
    formatColumns([
      ['token events/s', result.eventsPerSecond.toFixed(0)],
      ['answers, of them broken', `${result.answers}, ${result.broken}`],
      [
        'between tokens p50/p95/p99 ms',
        [result.gapP50, result.gapP95, result.gapP99].map((gap) => gap.toFixed(1)).join(' / '),
      ],
      ['processor time of the instance, cores', result.cpuShare.toFixed(2)],
      ['idle memory MiB', (result.idleBytes / BYTES_PER_MIB).toFixed(1)],
      ['memory per stream KiB', (result.bytesPerStream / BYTES_PER_KIB).toFixed(1)],
      ['slope KiB/min', (result.slopeBytesPerMinute / BYTES_PER_KIB).toFixed(1)],
    ]),
  );
}
