import { expect } from 'chai';
import { createFakeFleet, type FakeInstance } from '../../src/bench/configuration/fakeFleet.js';
import type { AuditEntry, OperatorResult } from '../../src/core/types.js';
import { ACCOUNTS_HASH, BASE_DOCUMENT, PLATFORM_HASH, PLATFORM_KEY } from '../support/edits.js';

describe('audit trail', () => {
  it('records each accepted or refused edit once, without keys or key hashes', () => {
    const fleet = createFakeFleet({ instances: 3, domains: 1, seed: 3 });
    fleet.run(1_500);
    const instance = fleet.instances[0] as FakeInstance;
    const publish = (editId: string, section: string, text: string, keyHash: string) =>
      fleet.command(
        instance,
        { kind: 'publish', editId, section, text, keyHash, baseVersion: -1, author: 'ana' },
        () => undefined,
      );
    publish('base', 'document', BASE_DOCUMENT, PLATFORM_HASH);
    fleet.run(2_000);
    fleet.log.lostReplies = 1;
    publish('no', 'pools', 'chat: { kind: service }\n', ACCOUNTS_HASH);
    publish('bad', 'pools', 'x', 'f'.repeat(64));
    fleet.run(30_000);
    const results: OperatorResult[] = [];
    fleet.command(instance, { kind: 'readAudit', limit: 10, keyHash: PLATFORM_HASH }, (result) =>
      results.push(result),
    );
    fleet.run(1_000);
    const data = results[0]?.kind === 'done' ? results[0].data : { entries: [] };
    const { entries } = data as { readonly entries: readonly AuditEntry[] };
    const published = entries.filter((entry) => entry.action === 'publish');
    expect(published.map((entry) => [entry.who, entry.accepted])).to.deep.equal([
      ['bootstrap/ana', true],
      ['accounts/ana', false],
    ]);
    expect(published[1]?.after).to.contain('kind: service');
    expect(published[1]?.before).to.contain('kind: model');
    expect(entries.filter((entry) => entry.action === 'authenticate')).to.have.lengthOf(1);
    const owners = entries.filter((entry) => entry.action === 'owner');
    expect(owners.map((entry) => entry.detail)).to.deep.equal(['gained e1']);
    const text = JSON.stringify([...(fleet.log.streams.get('audit') ?? []), results]);
    [PLATFORM_KEY, PLATFORM_HASH, ACCOUNTS_HASH].forEach((secret) => {
      expect(text).to.not.contain(secret);
    });
  });

  it('rejects a query with auditUnread while the log is down', () => {
    const fleet = createFakeFleet({ instances: 1, domains: 1, seed: 3 });
    fleet.run(1_500);
    fleet.log.isDown = true;
    const results: OperatorResult[] = [];
    const instance = fleet.instances[0] as FakeInstance;
    fleet.command(instance, { kind: 'readAudit', limit: 10, keyHash: PLATFORM_HASH }, (result) =>
      results.push(result),
    );
    fleet.run(1_000);
    expect(results[0]?.kind === 'rejected' && results[0].problem.code).to.equal('auditUnread');
  });
});
