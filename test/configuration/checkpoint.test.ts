import { expect } from 'chai';
import { runSteps } from '../../src/configuration/types.js';
import {
  decodePart,
  encodeCheckpointSteps,
  loadCheckpointSteps,
  type CheckpointPart,
} from '../../src/core/configuration/checkpoint.js';
import { foldRecord } from '../../src/core/configuration/fold.js';
import { createFoldState, type FoldState } from '../../src/core/configuration/foldState.js';
import { createCore, type Core } from '../../src/core/core.js';
import type { CoreEvent, Effect } from '../../src/core/types.js';
import { baseChanges, editRecord, stopChange } from '../support/edits.js';

const SELF = { id: 'a', incarnation: 1, address: '127.0.0.1:1', domain: 'd1', region: 'r1' };

/** A fold with `edits` edits behind the first document. */
function foldWith(edits: number): FoldState {
  const fold = createFoldState();
  foldRecord(fold, 0, editRecord('base', -1, baseChanges()));
  for (let i = 1; i <= edits; i += 1) {
    foldRecord(fold, i, editRecord(`e${i}`, i - 1, [stopChange('e1', `r${i}`)]));
  }
  return fold;
}

const partsOf = (fold: FoldState, id: string) => runSteps(encodeCheckpointSteps(fold, id));

function snapshots(fold: FoldState, from: string, claimed = fold.next): readonly CoreEvent[] {
  return partsOf(fold, `${from}/1/1`).map((document) => ({
    kind: 'peerMessage',
    from,
    incarnation: 1,
    message: {
      $case: 'configurationSnapshot',
      value: { version: fold.version, next: claimed, document },
    },
  }));
}

function heartbeat(from: string, version: number, beat: number): CoreEvent {
  const member = { ...SELF, id: from, phase: 1, beat };
  const value = { member, configurationVersion: version, others: [] };
  const message = { $case: 'heartbeat', value } as const;
  return { kind: 'peerMessage', from, incarnation: 1, message };
}

/** Runs events and the timers of the configuration; the log answers nothing but failures. */
function drive(core: Core, events: readonly CoreEvent[], now: number): readonly Effect[] {
  const effects = events.flatMap((event) => core.reduce(event, now));
  const more = [...effects];
  for (let i = 0; i < 5; i += 1) {
    const { outstanding } = core.state.configuration.reading;
    if (outstanding !== undefined) {
      const { stream, from } = outstanding;
      const result = { kind: 'failed', detail: 'down' } as const;
      more.push(...core.reduce({ kind: 'logRead', stream, from, result }, now + i));
    }
    more.push(...core.reduce({ kind: 'timer', timer: 'apply' }, now + i));
    more.push(...core.reduce({ kind: 'timer', timer: 'configuration' }, now + i));
  }
  return more;
}

describe('checkpoint of the configuration', () => {
  it('holds all that the fold holds', () => {
    const fold = foldWith(3);
    const parts = partsOf(fold, 'x').map(decodePart) as CheckpointPart[];
    expect(runSteps(loadCheckpointSteps(parts))).to.deep.equal(fold);
  });

  it('never takes an instance back', () => {
    const core = createCore({ self: SELF, seed: 1 });
    drive(core, [{ kind: 'start' }, ...snapshots(foldWith(2), 'b')], 2_000);
    expect(core.state.configuration.fold.version).to.equal(2);
    drive(core, snapshots(foldWith(1), 'c', 99), 3_000);
    expect(core.state.configuration.fold.version).to.equal(2);
    drive(core, snapshots(foldWith(4), 'd'), 4_000);
    expect(core.state.configuration.view?.version).to.equal(4);
  });

  it('does not make a new instance ready while a peer shows a higher version', () => {
    const core = createCore({ self: SELF, seed: 1 });
    const news = [heartbeat('old', 0, 1), heartbeat('new', 3, 1)];
    const early = drive(
      core,
      [{ kind: 'start' }, ...news, ...snapshots(foldWith(0), 'old')],
      2_000,
    );
    expect(early.some((effect) => effect.kind === 'setReady')).to.equal(false);
    expect(core.state.configuration.view).to.equal(undefined);
    const asked = drive(core, [], 3_500).find(
      (effect) => effect.kind === 'sendPeer' && effect.message.$case === 'configurationRequest',
    );
    expect(asked?.kind === 'sendPeer' && asked.to).to.equal('new');
    const late = drive(core, snapshots(foldWith(3), 'new'), 4_000);
    expect(late.some((effect) => effect.kind === 'setReady' && effect.ready)).to.equal(true);
    expect(core.state.configuration.view?.version).to.equal(3);
  });

  it('drops parts of another program and broken ones', () => {
    const [part = ''] = partsOf(foldWith(0), 'x');
    expect(decodePart(part.replace('"schemaVersion":1', '"schemaVersion":2'))).to.equal(undefined);
    expect(decodePart(part.slice(1))).to.equal(undefined);
    expect(decodePart('{}')).to.equal(undefined);
  });
});
