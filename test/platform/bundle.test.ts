import { expect } from 'chai';
import { request } from 'undici';
import { eventText } from '../../src/standins/platform/batchEngine.js';
import { createPlatformFleet, HOST, KEY, type PlatformFleet } from './support/fleet.js';
import {
  buildBundle,
  settingsText,
  spawnProgram,
  startProgram,
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

  it('starts on a platform that does not tell how much memory it gives', async () => {
    const settings = await settingsText(fleet.store.url, { 'Limits.MemoryMb': '' });
    expect(settings).to.not.include('memory');
    const program = await spawnProgram(bundle, settings);
    await program.untilOutput('"event":"ready"');
    program.signal('SIGTERM');
    expect(await program.ended).to.equal(0);
  });

  it('reports invalid settings', async () => {
    const program = await spawnProgram(bundle, 'instance: { id: a }\n');
    expect(await program.ended).to.equal(3);
    expect(program.output()).to.include('domain');
  });

  // A second SIGTERM ended a stopping process at once, with all streams that it passed on (review/5).
  it('ends its streams whole if it is told to stop once more', async () => {
    await fleet.addEngine('models', { events: 40, eventGapMs: 25 });
    const program = await startProgram(bundle, fleet.store.url);
    const stream = request(`http://${program.callers}/draft/1`, {
      method: 'POST',
      headers: { host: HOST, 'request-id': 'r1', authorization: `Token ${KEY}` },
    }).then(async ({ body }) => body.text());
    await program.untilOutput('"event":"sent"');
    program.signal('SIGTERM');
    await program.untilOutput('"event":"stopRequested"');
    program.signal('SIGTERM');
    program.signal('SIGTERM');
    expect(await stream).to.include(eventText(40));
    expect(await program.ended).to.equal(0);
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
