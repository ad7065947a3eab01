import { expect } from 'chai';
import fc from 'fast-check';
import { checkDocument } from '../../src/configuration/checks.js';
import { runSteps } from '../../src/configuration/types.js';
import { entriesAt, foldRecord } from '../../src/core/configuration/fold.js';
import {
  createFoldState,
  type FoldState,
  MAX_VERDICTS,
} from '../../src/core/configuration/foldState.js';
import type { SectionChange } from '../../src/core/configuration/records.js';
import { ACCOUNTS_HASH, baseChanges, editRecord, plannedStopChange } from '../support/edits.js';

function createFoldWithBase(): FoldState {
  const fold = createFoldState();
  foldRecord(fold, 0, editRecord('base', -1, baseChanges()));
  return fold;
}

function foldOutcome(fold: FoldState, offset: number, record: string) {
  const result = foldRecord(fold, offset, record);
  return result.kind === 'refused' ? result.verdict.reason : result.kind;
}

describe('fold of the configuration', () => {
  it('requires the teams in the first edit, then the proof of a team that owns the section', () => {
    const empty = createFoldState();
    expect(foldOutcome(empty, 0, editRecord('x', -1, [plannedStopChange('e1')]))).to.equal(
      'bootstrap',
    );
    const fold = createFoldWithBase();
    expect(fold.version).to.equal(0);
    const byAccounts = { team: 'accounts' };
    expect(
      foldOutcome(fold, 1, editRecord('a', 0, [plannedStopChange('e1')], byAccounts)),
    ).to.equal('notOwner');
    const forged = { team: 'platform', keyHash: ACCOUNTS_HASH };
    expect(foldOutcome(fold, 2, editRecord('b', 0, [plannedStopChange('e1')], forged))).to.equal(
      'wrongProof',
    );
    const unknown = { team: 'nobody', keyHash: ACCOUNTS_HASH };
    expect(foldOutcome(fold, 3, editRecord('c', 0, [plannedStopChange('e1')], unknown))).to.equal(
      'unknownTeam',
    );
    expect(foldOutcome(fold, 4, editRecord('d', 0, [plannedStopChange('e1')]))).to.equal(
      'accepted',
    );
    expect(fold.version).to.equal(4);
  });

  it('accepts only the first of conflicting edits of a section, and names its author to the other', () => {
    const fold = createFoldWithBase();
    expect(foldOutcome(fold, 1, editRecord('first', 0, [plannedStopChange('e1')]))).to.equal(
      'accepted',
    );
    const result = foldRecord(fold, 2, editRecord('second', 0, [plannedStopChange('e1', 'other')]));
    const verdict = result.kind === 'refused' ? result.verdict : undefined;
    expect(verdict?.reason).to.equal('conflict');
    expect(verdict?.conflicts[0]).to.deep.include({ author: 'author-first', keys: ['e1'] });
    const other: SectionChange = {
      section: 'entitlements',
      set: { c1: 'c1: { chat: 2 }\n' },
      remove: [],
    };
    const byAccounts = { team: 'accounts' };
    expect(foldOutcome(fold, 3, editRecord('third', 0, [other], byAccounts))).to.equal('accepted');
  });

  it('ignores a repeated edit', () => {
    const fold = createFoldWithBase();
    const record = editRecord('once', 0, [plannedStopChange('e1')]);
    expect(foldOutcome(fold, 1, record)).to.equal('accepted');
    expect(foldOutcome(fold, 2, record)).to.equal('ignored');
    expect(fold.version).to.equal(1);
  });

  it('refuses an edit that leaves an unresolved reference or has an unknown base version', () => {
    const fold = createFoldWithBase();
    const remove: SectionChange = { section: 'pools', set: {}, remove: ['chat'] };
    const result = foldRecord(fold, 1, editRecord('a', 0, [remove]));
    const verdict = result.kind === 'refused' ? result.verdict : undefined;
    expect(verdict?.diagnostics[0]?.code).to.equal('unknownReference');
    expect(foldOutcome(fold, 2, editRecord('b', 9, [plannedStopChange('e1')]))).to.equal(
      'unknownBase',
    );
  });

  it('accepts no edit that makes the document invalid, although only changed sections are checked', () => {
    const change = fc.constantFrom<SectionChange>(
      { section: 'pools', set: {}, remove: ['chat'] },
      { section: 'pools', set: { shop: 'shop: { kind: service }\n' }, remove: [] },
      { section: 'upstreams', set: {}, remove: ['e1'] },
      { section: 'customers', set: {}, remove: ['c1'] },
      { section: 'entitlements', set: { c1: 'c1: { chat: 2, shop: 1 }\n' }, remove: [] },
      { section: 'entitlements', set: {}, remove: ['c1'] },
      { section: 'routes', set: { shop: 'shop: []\n' }, remove: [] },
      { section: 'placement', set: { chat: "chat: { model: m, version: '1' }\n" }, remove: [] },
      { section: 'teams', set: {}, remove: ['accounts'] },
      plannedStopChange('e1'),
      { section: 'plannedStops', set: {}, remove: ['e1'] },
    );
    fc.assert(
      fc.property(fc.array(change, { maxLength: 12 }), (changes) => {
        const fold = createFoldWithBase();
        changes.forEach((each, i) => {
          const isAccounts = each.section === 'customers' || each.section === 'entitlements';
          const team = isAccounts ? 'accounts' : 'platform';
          foldRecord(fold, i + 1, editRecord(`e${i}`, fold.version, [each], { team }));
          expect(runSteps(checkDocument(fold.document))).to.deep.equal([]);
        });
      }),
      { seed: 6, numRuns: 300 },
    );
  });

  it('stops before a record of a newer schema version', () => {
    const fold = createFoldWithBase();
    const newerRecord = JSON.stringify({ kind: 'edit', schemaVersion: 99, whatever: 1 });
    expect(foldRecord(fold, 1, newerRecord).kind).to.equal('blocked');
    expect(fold).to.deep.include({ next: 1, version: 0 });
    expect(fold.blocked).to.deep.equal({ offset: 1, schemaVersion: 99 });
  });

  it('restores earlier texts of a section', () => {
    const fold = createFoldWithBase();
    foldRecord(fold, 1, editRecord('a', 0, [plannedStopChange('e1', 'one')]));
    foldRecord(fold, 2, editRecord('b', 1, [plannedStopChange('e1', 'two')]));
    const removed: SectionChange = { section: 'plannedStops', set: {}, remove: ['e1'] };
    foldRecord(fold, 3, editRecord('c', 2, [removed]));
    expect(entriesAt(fold, 'plannedStops', 1)?.get('e1')).to.contain('one');
    expect(entriesAt(fold, 'plannedStops', 2)?.get('e1')).to.contain('two');
    expect(entriesAt(fold, 'plannedStops', 3)?.size).to.equal(0);
    expect(entriesAt(fold, 'plannedStops', 0)?.size).to.equal(0);
  });

  it('ignores malformed records and limits the number of stored verdicts', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), (data) => {
        const fold = createFoldWithBase();
        expect(foldRecord(fold, 1, data).kind).to.equal('ignored');
        expect(fold.next).to.equal(2);
      }),
      { seed: 6, numRuns: 100 },
    );
    const fold = createFoldWithBase();
    for (let i = 1; i <= MAX_VERDICTS + 10; i += 1) {
      foldRecord(
        fold,
        i,
        editRecord(`e${i}`, 0, [plannedStopChange('e1')], { keyHash: ACCOUNTS_HASH }),
      );
    }
    expect(fold.verdicts.size).to.equal(MAX_VERDICTS);
  });
});
