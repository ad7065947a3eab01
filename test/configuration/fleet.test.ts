import { createHash } from 'node:crypto';
import { expect } from 'chai';
import fc from 'fast-check';
import {
  createFakeFleet,
  type FakeFleet,
  type FakeInstance,
} from '../../src/bench/configuration/fakeFleet.js';
import type { OperatorResult } from '../../src/core/types.js';
import { ACCOUNTS_HASH, BASE_DOCUMENT, editRecord, PLATFORM_HASH } from '../support/edits.js';

const ACTIVATION_TIMEOUT_MS = 4_000;

interface PublishOptions {
  readonly editId?: string;
  readonly section?: string;
  readonly text?: string;
  readonly baseVersion?: number;
  readonly keyHash?: string;
}

function publish(fleet: FakeFleet, instance: FakeInstance, options: PublishOptions = {}) {
  const results: OperatorResult[] = [];
  fleet.command(
    instance,
    {
      kind: 'publish',
      editId: options.editId ?? 'base',
      section: options.section ?? 'document',
      baseVersion: options.baseVersion ?? -1,
      text: options.text ?? BASE_DOCUMENT,
      author: 'op',
      keyHash: options.keyHash ?? PLATFORM_HASH,
    },
    (result) => results.push(result),
  );
  return results;
}

const activeVersion = (instance: FakeInstance) =>
  instance.core.state.configuration.view?.version ?? -1;
const plannedStopText = (reason: string) => `e1: { reason: ${reason} }\n`;

function createStartedFleet(instances: number, domains: number, seed = 1): FakeFleet {
  const fleet = createFakeFleet({ instances, domains, seed, settings: { checkpointMs: 8_000 } });
  fleet.run(2_000);
  const results = publish(fleet, fleet.instances[0] as FakeInstance);
  const activationMs = fleet.runUntil(
    () => fleet.instances.every((instance) => activeVersion(instance) === 0),
    ACTIVATION_TIMEOUT_MS,
  );
  expect(activationMs, 'time until the first document is active').to.not.equal(undefined);
  expect(results[0]).to.deep.include({ kind: 'done' });
  return fleet;
}

/** Fingerprint of the state that must be equal on all instances that have folded the same records. */
function foldFingerprint(instance: FakeInstance) {
  const { fold } = instance.core.state.configuration;
  const text = JSON.stringify([
    [...fold.document.plannedStops.values()],
    [...fold.document.customers.values()],
    [...fold.document.entitlements.values()],
    [...fold.numbers.customers],
    [...fold.verdicts.values()].map(({ editId, accepted, offset }) => [editId, accepted, offset]),
  ]);
  return `${fold.version} ${createHash('sha256').update(text).digest('hex')}`;
}

describe('configuration of a fleet', () => {
  it('becomes active on every instance soon after it is accepted', () => {
    const fleet = createStartedFleet(9, 3);
    const instance = fleet.instances[4] as FakeInstance;
    publish(fleet, instance, {
      editId: 's1',
      section: 'plannedStops',
      baseVersion: 0,
      text: plannedStopText('x'),
    });
    const activationMs = fleet.runUntil(
      () =>
        fleet.instances.every(({ core }) => core.state.configuration.view?.plannedStops.has('e1')),
      ACTIVATION_TIMEOUT_MS,
    );
    expect(activationMs).to.not.equal(undefined);
  });

  it('reaches an instance that restarts without state while the log is down', () => {
    const fleet = createStartedFleet(6, 2);
    fleet.log.isDown = true;
    const instance = fleet.instances[5] as FakeInstance;
    fleet.stop(instance);
    fleet.run(1_000);
    fleet.start(instance);
    expect(fleet.runUntil(() => activeVersion(instance) === 0, ACTIVATION_TIMEOUT_MS)).to.not.equal(
      undefined,
    );
    expect(instance.core.state.membership.members.get(instance.id)?.phase).to.equal('ready');
  });

  it('refuses the first edit while the log is down and stays without an active version', () => {
    const fleet = createFakeFleet({ instances: 2, domains: 1, seed: 1 });
    fleet.log.isDown = true;
    fleet.run(3_000);
    const results = publish(fleet, fleet.instances[0] as FakeInstance);
    fleet.run(30_000);
    expect(results[0]?.kind === 'rejected' && results[0].problem).to.deep.include({
      executed: 'no',
      code: 'configurationLogDown',
    });
    expect(activeVersion(fleet.instances[0] as FakeInstance)).to.equal(-1);
  });

  it('is restored from a checkpoint if all instances restart after the records have expired', () => {
    const fleet = createStartedFleet(4, 2);
    const { log } = fleet;
    const noteAt = () =>
      (log.streams.get('configuration') ?? []).findIndex((data) => data.includes('"checkpoint"'));
    expect(fleet.runUntil(() => noteAt() > 0, 20_000)).to.not.equal(undefined);
    log.oldest.set('configuration', noteAt());
    const before = foldFingerprint(fleet.instances[0] as FakeInstance);
    fleet.instances.forEach(fleet.stop);
    fleet.instances.forEach(fleet.start);
    const isBack = () => fleet.instances.every((instance) => activeVersion(instance) === 0);
    expect(fleet.runUntil(isBack, 10_000)).to.not.equal(undefined);
    fleet.instances.forEach((instance) => expect(foldFingerprint(instance)).to.equal(before));
  });

  it('publishes an edit once if the reply of the log is lost and the operator submits it again', () => {
    const fleet = createStartedFleet(3, 1);
    fleet.log.lostReplies = 1;
    const plannedStop = {
      editId: 's1',
      section: 'plannedStops',
      baseVersion: 0,
      text: plannedStopText('x'),
    };
    const first = publish(fleet, fleet.instances[1] as FakeInstance, plannedStop);
    const second = publish(fleet, fleet.instances[2] as FakeInstance, plannedStop);
    fleet.run(5_000);
    expect(first[0]).to.deep.equal(second[0]);
    expect(first[0]?.kind).to.equal('done');
    const versions = new Set(fleet.instances.map(activeVersion));
    expect([...versions]).to.deep.equal([1]);
  });

  it('accepts exactly one of four concurrent edits of a section', () => {
    const fleet = createStartedFleet(4, 2);
    const results = fleet.instances.map((instance, i) =>
      publish(fleet, instance, {
        editId: `s${i}`,
        section: 'plannedStops',
        baseVersion: 0,
        text: plannedStopText(`by ${i}`),
      }),
    );
    fleet.run(3_000);
    expect(results.flat().filter((result) => result.kind === 'done')).to.have.lengthOf(1);
    const refused = results.flat().filter((result) => result.kind === 'rejected');
    expect(refused).to.have.lengthOf(3);
    refused.forEach(({ data }) =>
      expect(data).to.have.nested.property('conflicts[0].author', 'op'),
    );
  });

  it('reports the line of an invalid edit, and rejects an unknown key without writing a record', () => {
    const fleet = createStartedFleet(2, 1);
    const instance = fleet.instances[1] as FakeInstance;
    const wrong = publish(fleet, instance, {
      editId: 'w',
      section: 'plannedStops',
      baseVersion: 0,
      text: '# note\n\ne9: { reason: x }\n',
    });
    const unknown = publish(fleet, instance, { editId: 'u', keyHash: 'f'.repeat(64) });
    fleet.run(3_000);
    const data = wrong[0]?.kind === 'rejected' ? wrong[0].data : undefined;
    expect(data).to.have.nested.property('diagnostics[0].line', 3);
    expect(unknown[0]?.kind === 'rejected' && unknown[0].problem.status).to.equal(401);
    expect(fleet.log.streams.get('configuration')).to.have.lengthOf(2);
  });

  it('refuses to publish once the log has a record of a newer schema version', () => {
    const fleet = createStartedFleet(2, 1);
    fleet.log.streams.get('configuration')?.push('{"kind":"edit","schemaVersion":9}');
    const results = fleet.instances.map((instance, i) =>
      publish(fleet, instance, {
        editId: `s${i}`,
        section: 'plannedStops',
        baseVersion: 0,
        text: plannedStopText('x'),
      }),
    );
    fleet.run(25_000);
    results.flat().forEach((result) => {
      expect(result.kind).to.equal('rejected');
    });
    const late = publish(fleet, fleet.instances[0] as FakeInstance, { editId: 'late' });
    fleet.run(100);
    expect(late[0]?.kind === 'rejected' && late[0].problem.code).to.equal('schemaNewer');
    expect(fleet.instances.map(activeVersion)).to.deep.equal([0, 0]);
  });

  it('never writes an operator key to the log or to a verdict', () => {
    const fleet = createStartedFleet(2, 1);
    const everything = JSON.stringify([
      [...fleet.log.streams.entries()],
      fleet.instances.map(({ core }) => [...core.state.configuration.fold.verdicts.values()]),
    ]);
    expect(everything).to.not.contain('platform-secret');
    expect(everything).to.not.contain('accounts-secret');
  });

  it('does not revert to old records or to an old snapshot from a peer', () => {
    const fleet = createStartedFleet(3, 1);
    const instance = fleet.instances[1] as FakeInstance;
    publish(fleet, instance, {
      editId: 's1',
      section: 'plannedStops',
      baseVersion: 0,
      text: plannedStopText('x'),
    });
    fleet.run(2_000);
    const before = foldFingerprint(instance);
    const old = {
      stream: 'configuration',
      from: 0,
      next: 1,
      records: [{ offset: 0, data: editRecord('evil', -1, []) }],
    };
    const message = { $case: 'configurationRecords', value: old } as const;
    instance.core.reduce({ kind: 'peerMessage', from: 'i0', incarnation: 1, message }, fleet.now());
    const snapshot = { version: 0, next: 1, document: '{}' };
    instance.core.reduce(
      {
        kind: 'peerMessage',
        from: 'i0',
        incarnation: 1,
        message: { $case: 'configurationSnapshot', value: snapshot },
      },
      fleet.now(),
    );
    fleet.run(1_000);
    expect(foldFingerprint(instance)).to.equal(before);
  });

  const actionArbitrary = fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constant('plannedStop' as const),
        at: fc.nat(4),
        stale: fc.boolean(),
      }),
    },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant('weights' as const), at: fc.nat(4) }) },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('logDown' as const),
        ms: fc.integer({ min: 100, max: 5_000 }),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('logSlow' as const),
        ms: fc.integer({ min: 1, max: 400 }),
      }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('loseReply' as const) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('restart' as const), at: fc.nat(4) }) },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant('partition' as const),
        ms: fc.integer({ min: 500, max: 8_000 }),
      }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('expireRecords' as const) }) },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant('wait' as const),
        ms: fc.integer({ min: 1, max: 2_000 }),
      }),
    },
  );

  it('converges on all instances despite races, faults and restarts, and its version never decreases', () => {
    fc.assert(
      fc.property(fc.array(actionArbitrary, { minLength: 3, maxLength: 25 }), (actions) => {
        const fleet = createStartedFleet(5, 2);
        const highestVersions = new Map<string, number>();
        const results: OperatorResult[][] = [];
        const races: (readonly [string, string])[] = [];
        let edits = 0;
        const run = (ms: number) =>
          fleet.runUntil(() => {
            fleet.instances.forEach((instance) => {
              const key = `${instance.id} ${instance.incarnation}`;
              const version = activeVersion(instance);
              expect(version).to.be.at.least(highestVersions.get(key) ?? -1);
              highestVersions.set(key, version);
            });
            return false;
          }, ms);
        const edit = (
          index: number,
          section: string,
          text: string,
          base: number,
          keyHash: string,
        ) => {
          edits += 1;
          const instance = fleet.instances[index] as FakeInstance;
          const options = { editId: `e${edits}`, section, text, baseVersion: base, keyHash };
          results.push(publish(fleet, instance, options));
        };
        for (const action of actions) {
          switch (action.kind) {
            case 'plannedStop': {
              const base = action.stale
                ? 0
                : activeVersion(fleet.instances[action.at] as FakeInstance);
              edit(action.at, 'plannedStops', plannedStopText(`r${edits}`), base, PLATFORM_HASH);
              edit(
                (action.at + 1) % 5,
                'plannedStops',
                plannedStopText(`r${edits}`),
                base,
                PLATFORM_HASH,
              );
              races.push([`e${edits - 1}`, `e${edits}`]);
              break;
            }
            case 'weights': {
              const base = activeVersion(fleet.instances[action.at] as FakeInstance);
              edit(action.at, 'entitlements', `c1: { chat: ${edits + 1} }\n`, base, ACCOUNTS_HASH);
              break;
            }
            case 'logDown':
              fleet.log.isDown = true;
              run(action.ms);
              fleet.log.isDown = false;
              break;
            case 'logSlow':
              fleet.log.delayMs = action.ms;
              break;
            case 'loseReply':
              fleet.log.lostReplies += 1;
              break;
            case 'restart': {
              const instance = fleet.instances[action.at] as FakeInstance;
              fleet.stop(instance);
              run(50);
              fleet.start(instance);
              break;
            }
            case 'partition':
              fleet.cutLinks.add('d0|d1');
              run(action.ms);
              fleet.cutLinks.clear();
              break;
            case 'expireRecords': {
              const records = fleet.log.streams.get('configuration') ?? [];
              const note = records.findLastIndex((data) => data.startsWith('{"kind":"checkpoint"'));
              if (note >= 0) fleet.log.oldest.set('configuration', note);
              break;
            }
            default:
              run(action.ms);
          }
        }
        fleet.log.delayMs = 1;
        fleet.log.lostReplies = 0;
        const isSettled = () =>
          fleet.instances.every(({ core }) => core.state.configuration.publishing.size === 0) &&
          new Set(fleet.instances.map(activeVersion)).size === 1;
        run(4_000);
        expect(fleet.runUntil(isSettled, 21_000)).to.not.equal(undefined);
        expect(new Set(fleet.instances.map(foldFingerprint)).size).to.equal(1);
        const { fold } = (fleet.instances[0] as FakeInstance).core.state.configuration;
        races.forEach((race) => {
          const winners = race.filter((editId) => fold.verdicts.get(editId)?.accepted === true);
          expect(winners.length).to.be.at.most(1);
        });
        results.flat().forEach((result) => {
          if (result.kind !== 'done') return;
          const { editId } = result.data as { editId: string };
          expect(fold.verdicts.get(editId)?.accepted, editId).to.equal(true);
        });
      }),
      { seed: 6, numRuns: 8 },
    );
  });
});
