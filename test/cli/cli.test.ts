import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { stringify } from 'yaml';
import { SECTION_NAMES } from '../../src/configuration/types.js';
import { EXIT_CODES } from '../../src/cli/exitCodes.js';
import { answerText, createEngineStandin } from '../../src/standins/index.js';
import { sendCompletion, keyHashOf, parseStreamText, TEST_KEY } from '../support/fleet.js';

const MAIN = join('dist', 'src', 'cli', 'main.js');

interface ProcessResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

const children = new Set<ChildProcess>();

function start(args: readonly string[]) {
  const child = spawn(process.execPath, [MAIN, ...args], { stdio: 'pipe' });
  children.add(child);
  child.once('close', () => children.delete(child));
  const output = { stdout: '', stderr: '' };
  child.stdout.on('data', (part: Buffer) => {
    output.stdout += part.toString();
  });
  child.stderr.on('data', (part: Buffer) => {
    output.stderr += part.toString();
  });
  const ended = new Promise<ProcessResult>((resolve) => {
    child.once('close', (code) => resolve({ code, ...output }));
  });
  return { child, output, ended };
}

const run = async (...args: readonly string[]): Promise<ProcessResult> => start(args).ended;

describe('command line', () => {
  let dir: string;
  before(async () => {
    dir = await mkdtemp(join(tmpdir(), 'primroseswitch-'));
  });
  afterEach(() => children.forEach((child) => child.kill('SIGKILL')));
  after(async () => rm(dir, { recursive: true }));

  const write = async (name: string, text: string) => {
    const file = join(dir, name);
    await writeFile(file, text);
    return file;
  };

  it('exits with the usage code for an unknown command', async () => {
    const { code, stdout, stderr } = await run('srve');
    expect(code).to.equal(EXIT_CODES.usage);
    expect(stdout).to.equal('');
    expect(stderr).to.include('serve');
  });

  it('validates a document and reports file, line and column', async () => {
    const good = await run('check', join('examples', 'cherry-net-hire.yaml'));
    expect(good.code).to.equal(EXIT_CODES.ok);
    const file = await write('document.yaml', 'custmers:\n  a: {}\n');
    const bad = await run('check', '--kind', 'document', '--json', file);
    expect(bad.code).to.equal(EXIT_CODES.invalid);
    const { findings } = JSON.parse(bad.stdout) as { findings: readonly string[] };
    expect(findings[0]).to.match(/document\.yaml:1:1: .*customers/);
  });

  it('exits successfully when the reader closes its output', async () => {
    const line = { time: '2026-01-01T00:00:00Z', instance: 'i1', event: 'sent', request: 'r1' };
    // Exceeds the pipe buffer, so that output remains to be written after the reader closes it.
    const file = await write('i1.log', `${JSON.stringify(line)}\n`.repeat(20_000));
    const { child, ended } = start(['explain', 'r1', file]);
    child.stdout?.once('data', () => child.stdout?.destroy());
    const { code, stderr } = await ended;
    expect(stderr).to.equal('');
    expect(code).to.equal(EXIT_CODES.ok);
  });

  it('rejects invalid settings before starting', async () => {
    const file = await write('bad.yaml', 'instance: { id: a, domain: d, reegion: r }\n');
    const { code, stderr } = await run('serve', '--settings', file);
    expect(code).to.equal(EXIT_CODES.invalid);
    expect(stderr).to.include(`${file}:1:31: error 3004`);
  });

  it('accepts only NAME=PID and requires a process id for each fault', async () => {
    const load = join('examples', 'load.yaml');
    const faults = await write('faults.yaml', 'faults: [{atMs: 1, process: i1, signal: SIGCONT}]');
    const bad = await run('load', load, '--faults', faults, '--pid', 'i1');
    expect(bad.code).to.equal(EXIT_CODES.usage);
    expect(bad.stderr).to.include("'i1' is not NAME=PID");
    const other = await run('load', load, '--faults', faults, '--pid', `i2=${process.pid}`);
    expect(other.code).to.equal(EXIT_CODES.invalid);
    expect(other.stderr).to.include('i1');
  });

  it('reports an unreachable instance', async () => {
    const { code, stderr } = await run('status', '--url', 'http://127.0.0.1:1');
    expect(code).to.equal(EXIT_CODES.unreachable);
    expect(stderr).to.include('error 7003');
  });

  it('completes a stream in progress before exiting on SIGTERM', async () => {
    const engine = await createEngineStandin({ tokenIntervalMs: 20 });
    const place = { domain: 'd', region: 'r' };
    await write(
      'fleet.yaml',
      stringify({
        teams: { t: { keyHashes: [keyHashOf('team')], sections: SECTION_NAMES } },
        customers: { c: { keyHashes: [keyHashOf(TEST_KEY)] } },
        pools: { chat: { kind: 'model' } },
        upstreams: { e: { ...place, pool: 'chat', url: engine.url, slots: 4 } },
      }),
    );
    const settings = await write(
      'good.yaml',
      stringify({
        instance: { id: 'a', ...place },
        listen: { callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0' },
        document: 'fleet.yaml',
      }),
    );
    const { child, output, ended } = start(['serve', '--settings', settings]);
    const address = await new Promise<string>((resolve) => {
      child.stderr.on('data', () => {
        const match = /listens for callers on (\S+),/.exec(output.stderr);
        if (match?.[1] !== undefined) resolve(match[1]);
      });
    });
    const res = await sendCompletion(`http://${address}`, 'still running', { tokens: 30 });
    child.kill('SIGTERM');
    expect(parseStreamText(await res.text())).to.equal(answerText('still running', 30));
    const { code, stderr } = await ended;
    expect(code).to.equal(EXIT_CODES.ok);
    expect(stderr).to.include('has stopped');
    await engine.stop();
  });

  it('runs the demo load and exits', async () => {
    const { code, stdout } = await run('demo', '--once', '--seconds', '1');
    // The line alone, so that a failure shows what ended otherwise.
    const summary = stdout.split('\n').find((line) => line.includes(' sent in '));
    expect(summary).to.match(/^(\d+) sent in [\d.]+ s, \1 served, 0 refused, 0 failed/);
    expect(stdout).to.include('every request had a valid outcome');
    expect(code).to.equal(EXIT_CODES.ok);
  });
});
