import { expect } from 'chai';
import { createPlatformFleet, type PlatformFleet } from './support/fleet.js';
import {
  buildBundle,
  settingsText,
  spawnProgram,
  takePort,
  type Bundle,
} from './support/program.js';

describe('program bundle', () => {
  let bundle: Bundle;
  let fleet: PlatformFleet;
  before(async () => {
    bundle = await buildBundle();
  });
  after(async () => bundle.remove());

  beforeEach(async () => {
    fleet = await createPlatformFleet();
    fleet.configure(1);
    await fleet.addEngine('desk');
  });
  afterEach(async () => fleet.close());

  it('starts without node_modules and exits with 0 on SIGTERM', async () => {
    const program = await spawnProgram(bundle, await settingsText(fleet.store.url));
    await program.untilOutput('"event":"ready"');
    program.signal('SIGTERM');
    expect(await program.ended).to.equal(0);
    expect(program.output()).to.include('"event":"stopped"');
  });

  it('reports invalid settings', async () => {
    const program = await spawnProgram(bundle, 'instance: { id: a }\n');
    expect(await program.ended).to.equal(3);
    expect(program.output()).to.include('domain');
  });

  // The process before may hold a port for a moment, or another one of the machine uses it for a connection.
  it('waits for a port that is taken when it starts', async () => {
    const taken = await takePort();
    const settings = await settingsText(fleet.store.url, { 'Listen.Front': taken.address });
    const program = await spawnProgram(bundle, settings);
    await program.untilOutput('"event":"portTaken"');
    taken.free();
    await program.untilOutput('"event":"ready"');
    program.signal('SIGTERM');
    expect(await program.ended).to.equal(0);
  });
});
