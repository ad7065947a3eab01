import { execFile, spawn } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { createPlatformFleet } from './support/fleet.js';

const execute = promisify(execFile);

/** Settings as the platform fills them in, with ports that the system chooses. */
async function settingsText(storeAddress: string): Promise<string> {
  const template = await readFile(join('platform', 'settings.yaml.template'), 'utf8');
  const values: Readonly<Record<string, string>> = {
    NodeName: 'instance-1',
    Zone: 'domain-a',
    Region: 'region-a',
    'Listen.Front': '127.0.0.1:0',
    'Listen.Ready': '127.0.0.1:0',
    Ip: '127.0.0.1',
    'PortRange.0': '0',
    'PortRange.1': '0',
    'Provider.Address': storeAddress,
    'Bounds.RevokeMs': '5000',
    'Bounds.ConfigApplyMs': '2500',
    'Bounds.DrainMs': '2500',
    'Bounds.GraceS': '8',
    'Bounds.RetryRatio': '0.2',
    'Bounds.RetrySlack': '54',
    'Bounds.RetryWindowS': '10',
  };
  return template
    .replace(/\{\{#Zones\}\}\n([\s\S]*?)\{\{\/Zones\}\}\n/, '    domain-a: region-a\n')
    .replace(/\{\{([\w.]+)\}\}/g, (_, name: string) => values[name] ?? '');
}

describe('bundle of the program', () => {
  let dir: string;
  let program: string;
  before(async () => {
    dir = await mkdtemp(join(tmpdir(), 'primroseswitch-'));
    program = join(dir, 'program.mjs');
    await execute(process.execPath, [join('scripts', 'bundle.mjs'), program]);
  });
  after(async () => rm(dir, { recursive: true }));

  it('starts alone, and stops on SIGTERM', async () => {
    const fleet = await createPlatformFleet();
    fleet.configure(1);
    await fleet.addEngine('desk');
    const settings = join(dir, 'settings.yaml');
    await writeFile(settings, await settingsText(fleet.store.url.replace('http://', '')));
    // From a folder without libraries, so that nothing but the bundle can be loaded.
    const child = spawn(process.execPath, [program, settings], { cwd: dir });
    let output = '';
    const isReady = new Promise<void>((resolve) => {
      child.stdout.on('data', (part: Buffer) => {
        output += part.toString();
        if (output.includes('"event":"ready"')) resolve();
      });
    });
    const ended = new Promise<number | null>((resolve) => {
      child.once('close', resolve);
    });
    await isReady;
    child.kill('SIGTERM');
    expect(await ended).to.equal(0);
    expect(output).to.include('"event":"stopped"');
    await fleet.close();
  });

  it('names what is wrong with its settings', async () => {
    const settings = join(dir, 'wrong.yaml');
    await writeFile(settings, 'instance: { id: a }\n');
    const failed = await execute(process.execPath, [program, settings]).then(
      () => undefined,
      (err: { readonly stderr: string }) => err.stderr,
    );
    expect(failed).to.include('domain');
  });
});
