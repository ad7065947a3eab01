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
import { baseChanges, editRecord, plannedStopChange } from '../support/edits.js';

const SELF = { id: 'a', incarnation: 1, address: '127.0.0.1:1', domain: 'd1', region: 'r1' };

/** Returns a fold of the base document followed by `edits` accepted edits. */
function createFoldWithEdits(edits: number): FoldState {
  const fold = createFoldState();
  foldRecord(fold, 0, editRecord('base', -1, baseChanges()));
  for (let i = 1; i <= edits; i += 1) {
    foldRecord(fold, i, editRecord(`e${i}`, i - 1, [plannedStopChange('e1', `r${i}`)]));
  }
  return fold;
}

const encodeParts = (fold: FoldState, id: string) => runSteps(encodeCheckpointSteps(fold, id));

/** Returns a peer's snapshot of the fold as events; `claimedNext` overrides the offset that it states. */
function createSnapshots(
  fold: FoldState,
  from: string,
  claimedNext = fold.next,
): readonly CoreEvent[] {
  return encodeParts(fold, `${from}/1/1`).map((document) => ({
    kind: 'peerMessage',
    from,
    incarnation: 1,
    message: {
      $case: 'configurationSnapshot',
      value: { version: fold.version, next: claimedNext, document },
    },
  }));
}

function createHeartbeat(from: string, version: number, beat: number): CoreEvent {
  const member = { ...SELF, id: from, phase: 1, beat };
  const value = { member, configurationVersion: version, others: [] };
  const message = { $case: 'heartbeat', value } as const;
  return { kind: 'peerMessage', from, incarnation: 1, message };
}

/** Applies the events, then runs the configuration timers while every read of the log fails. */
function runEvents(core: Core, events: readonly CoreEvent[], now: number): readonly Effect[] {
  const effects = events.flatMap((event) => core.reduce(event, now));
  const allEffects = [...effects];
  for (let i = 0; i < 5; i += 1) {
    const { outstanding } = core.state.configuration.reading;
    if (outstanding !== undefined) {
      const { stream, from } = outstanding;
      const result = { kind: 'failed', detail: 'down' } as const;
      allEffects.push(...core.reduce({ kind: 'logRead', stream, from, result }, now + i));
    }
    allEffects.push(...core.reduce({ kind: 'timer', timer: 'apply' }, now + i));
    allEffects.push(...core.reduce({ kind: 'timer', timer: 'configuration' }, now + i));
  }
  return allEffects;
}

describe('checkpoint of the configuration', () => {
  it('restores the complete state of the fold', () => {
    const fold = createFoldWithEdits(3);
    const parts = encodeParts(fold, 'x').map(decodePart) as CheckpointPart[];
    expect(runSteps(loadCheckpointSteps(parts))).to.deep.equal(fold);
  });

  it('never moves an instance to an older version', () => {
    const core = createCore({ self: SELF, seed: 1 });
    runEvents(core, [{ kind: 'start' }, ...createSnapshots(createFoldWithEdits(2), 'b')], 2_000);
    expect(core.state.configuration.fold.version).to.equal(2);
    runEvents(core, createSnapshots(createFoldWithEdits(1), 'c', 99), 3_000);
    expect(core.state.configuration.fold.version).to.equal(2);
    runEvents(core, createSnapshots(createFoldWithEdits(4), 'd'), 4_000);
    expect(core.state.configuration.view?.version).to.equal(4);
  });

  it('does not make a new instance ready while a peer reports a higher version', () => {
    const core = createCore({ self: SELF, seed: 1 });
    const heartbeats = [createHeartbeat('old', 0, 1), createHeartbeat('new', 3, 1)];
    const early = runEvents(
      core,
      [{ kind: 'start' }, ...heartbeats, ...createSnapshots(createFoldWithEdits(0), 'old')],
      2_000,
    );
    expect(early.some((effect) => effect.kind === 'setReady')).to.equal(false);
    expect(core.state.configuration.view).to.equal(undefined);
    const request = runEvents(core, [], 3_500).find(
      (effect) => effect.kind === 'sendPeer' && effect.message.$case === 'configurationRequest',
    );
    expect(request?.kind === 'sendPeer' && request.to).to.equal('new');
    const late = runEvents(core, createSnapshots(createFoldWithEdits(3), 'new'), 4_000);
    expect(late.some((effect) => effect.kind === 'setReady' && effect.ready)).to.equal(true);
    expect(core.state.configuration.view?.version).to.equal(3);
  });

  it('rejects parts of a newer schema version and malformed parts', () => {
    const [part = ''] = encodeParts(createFoldWithEdits(0), 'x');
    expect(decodePart(part.replace('"schemaVersion":1', '"schemaVersion":2'))).to.equal(undefined);
    expect(decodePart(part.slice(1))).to.equal(undefined);
    expect(decodePart('{}')).to.equal(undefined);
  });
});
