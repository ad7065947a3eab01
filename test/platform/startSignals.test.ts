import { expect } from 'chai';
import { createPlatformFleet, type PlatformFleet } from './support/fleet.js';
import {
  buildBundle,
  settingsText,
  spawnProgram,
  takePort,
  type Bundle,
  type SpawnedProgram,
} from './support/program.js';

// A signal without a handler ends a process, whatever the signal means; the platform sends SIGHUP whenever the
// settings change. The start is held up by a port that is taken.
describe('a signal that arrives while the program starts', () => {
  let bundle: Bundle;
  let fleet: PlatformFleet;
  let taken: { readonly address: string; readonly free: () => void };
  let program: SpawnedProgram;
  before(async () => {
    bundle = await buildBundle();
  });
  after(async () => bundle.remove());

  beforeEach(async () => {
    fleet = await createPlatformFleet();
    fleet.configure(1);
    await fleet.addEngine('desk');
    taken = await takePort();
    const settings = await settingsText(fleet.store.url, { 'Listen.Front': taken.address });
    program = await spawnProgram(bundle, settings);
    await program.untilOutput('"event":"portTaken"');
  });
  afterEach(async () => {
    taken.free();
    program.signal('SIGKILL');
    await program.ended;
    await fleet.close();
  });

  it('reloads the settings after the start, if it is a SIGHUP', async () => {
    program.signal('SIGHUP');
    program.signal('SIGHUP');
    taken.free();
    await program.untilOutput('"event":"ready"');
    await program.untilOutput('"event":"reloaded"');
  });

  it('ends the program with exit code 0, if it is a SIGTERM', async () => {
    program.signal('SIGTERM');
    expect(await program.ended).to.equal(0);
  });
});
