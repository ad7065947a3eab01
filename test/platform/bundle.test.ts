import { execFile, spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { createPlatformFleet } from './support/fleet.js';
import { fillTemplate } from './support/settings.js';

const execute = promisify(execFile);

/** Settings with ephemeral ports. */
const settingsText = async (storeAddress: string): Promise<string> =>
  fillTemplate({
    NodeName: 'instance-1',
    Zone: 'domain-a',
    Region: 'region-a',
    'Listen.Front': '127.0.0.1:0',
    'Listen.Ready': '127.0.0.1:0',
    Ip: '127.0.0.1',
    'PortRange.0': '0',
    'PortRange.1': '0',
    'Provider.Address': storeAddress,
  });

describe('program bundle', () => {
  let dir: string;
  let program: string;
  before(async () => {
    dir = await mkdtemp(join(tmpdir(), 'primroseswitch-'));
    program = join(dir, 'program.mjs');
    await execute(process.execPath, [join('scripts', 'bundle.mjs'), program]);
  });
  after(async () => rm(dir, { recursive: true }));

  it('starts without node_modules and exits with 0 on SIGTERM', async () => {
    const fleet = await createPlatformFleet();
    fleet.configure(1);
    await fleet.addEngine('desk');
    const settings = join(dir, 'settings.yaml');
    await writeFile(settings, await settingsText(fleet.store.url.replace('http://', '')));
    // The working directory has no node_modules, so only the bundle can be loaded.
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

  it('reports invalid settings', async () => {
    const settings = join(dir, 'wrong.yaml');
    await writeFile(settings, 'instance: { id: a }\n');
    const errorOutput = await execute(process.execPath, [program, settings]).then(
      () => undefined,
      (err: { readonly stderr: string }) => err.stderr,
    );
    expect(errorOutput).to.include('domain');
  });
});
