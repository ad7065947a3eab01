import { spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { EXIT_CODES } from '../../src/cli/exitCodes.js';
import { createInstance, type Instance } from '../../src/daemon/instance.js';
import { createPlatformStandin, type PlatformStandin } from '../../src/standins/index.js';
import { ACCOUNTS_KEY, BASE_DOCUMENT, PLATFORM_HASH, PLATFORM_KEY } from '../support/edits.js';

const MAIN = join('dist', 'src', 'cli', 'main.js');

interface ProcessResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

async function run(key: string, args: readonly string[]): Promise<ProcessResult> {
  const env = { ...process.env, PRIMROSESWITCH_KEY: key };
  const child = spawn(process.execPath, [MAIN, ...args], { stdio: 'pipe', env });
  const output = { stdout: '', stderr: '' };
  child.stdout.on('data', (part: Buffer) => {
    output.stdout += part.toString();
  });
  child.stderr.on('data', (part: Buffer) => {
    output.stderr += part.toString();
  });
  return new Promise((resolve) => {
    child.once('close', (code) => resolve({ code, ...output }));
  });
}

describe('operator commands', () => {
  let dir: string;
  let platform: PlatformStandin;
  let instance: Instance;
  let url: string;

  before(async () => {
    dir = await mkdtemp(join(tmpdir(), 'primroseswitch-'));
    platform = await createPlatformStandin();
    instance = createInstance({
      id: 'i1',
      domain: 'd1',
      region: 'r1',
      platformUrl: platform.url,
      log: { threshold: 'error' },
    });
    const addresses = await instance.start();
    url = `http://${addresses.operators}`;
  });

  after(async () => {
    await instance.kill();
    await platform.stop();
    await rm(dir, { recursive: true });
  });

  const runAsPlatformTeam = async (...args: readonly string[]) =>
    run(PLATFORM_KEY, [...args, '--url', url]);

  it('publish, edit and revert the configuration, report conflicts and plan stops', async () => {
    const file = join(dir, 'document.yaml');
    await writeFile(file, BASE_DOCUMENT);
    const first = await runAsPlatformTeam(
      'config',
      'publish',
      file,
      '--base',
      '-1',
      '--author',
      'ana',
    );
    expect(first.stderr).to.equal('');
    expect(first.stdout).to.equal('version 0\n');

    const pools = join(dir, 'pools.yaml');
    expect((await runAsPlatformTeam('config', 'get', 'pools', '-o', pools)).code).to.equal(
      EXIT_CODES.ok,
    );
    const source = await readFile(pools, 'utf8');
    await writeFile(pools, source.replace('model', 'modle'));
    const wrong = await runAsPlatformTeam('config', 'check', pools);
    expect(wrong.code).to.equal(EXIT_CODES.invalid);
    expect(wrong.stderr).to.include(`${pools}:2:`);

    await writeFile(pools, `${source}shop: { kind: service }\n`);
    expect((await runAsPlatformTeam('config', 'diff', pools)).stdout).to.include('+ pools.shop');
    expect((await runAsPlatformTeam('config', 'publish', pools)).stdout).to.equal('version 1\n');
    await writeFile(pools, `${source}late: { kind: service }\n`);
    const late = await runAsPlatformTeam('config', 'publish', pools);
    expect(late.code).to.equal(EXIT_CODES.failed);
    expect(late.stderr).to.include('version 1 by platform/');

    const planned = await runAsPlatformTeam('stop', 'plan', 'e1', '--reason', 'disks');
    expect(planned.stderr).to.equal('');
    expect((await runAsPlatformTeam('stop', 'list')).stdout).to.include('reason: disks');
    expect((await runAsPlatformTeam('stop', 'cancel', 'e1')).code).to.equal(EXIT_CODES.ok);
    const reverted = await runAsPlatformTeam('config', 'revert', '0', '--section', 'pools');
    expect(reverted.code).to.equal(EXIT_CODES.ok);
    expect((await runAsPlatformTeam('config', 'get', 'pools')).stdout).to.not.include('shop');
    const history = await runAsPlatformTeam('config', 'history');
    expect(history.stdout).to.include('refused: conflict');
    expect(history.stdout).to.include('plannedStops.e1');
  }).timeout(60_000);

  it('are restricted to the sections owned by the team of the key', async () => {
    const key = join(dir, 'caller.key');
    await writeFile(key, 'caller-3');
    const args = ['customer', 'add', 'c3', '--caller-key-file', key, '--url', url];
    const refused = await run(PLATFORM_KEY, args);
    expect(refused.code).to.equal(EXIT_CODES.failed);
    expect(refused.stderr).to.include('does not own');
    const added = await run(ACCOUNTS_KEY, args);
    expect(added.code).to.equal(EXIT_CODES.ok);
    const unknown = await run('nobody', ['config', 'get', '--url', url]);
    expect(unknown.stderr).to.include('unknown');
    // The stored hash of a key is not accepted as a credential.
    const byHash = await run(PLATFORM_HASH, ['config', 'get', '--url', url]);
    expect(byHash.code).to.equal(EXIT_CODES.failed);
    const status = await fetch(`${url}/status`).then(async (res) => res.text());
    [PLATFORM_KEY, PLATFORM_HASH, 'caller-3'].forEach((secret) => {
      expect(status).to.not.include(secret);
    });
  }).timeout(30_000);

  it('show orders, the audit trail, the live view and the quarantine', async () => {
    const trail = await runAsPlatformTeam('audit');
    expect(trail.stdout).to.include('platform/');
    expect(trail.stdout).to.not.include(PLATFORM_HASH);
    expect((await runAsPlatformTeam('orders')).stdout).to.include('upstream');
    expect((await runAsPlatformTeam('top', '--once')).stdout).to.include('instance i1 (d1, r1)');
    expect((await runAsPlatformTeam('quarantine', 'list')).code).to.equal(EXIT_CODES.ok);
  }).timeout(30_000);
});
