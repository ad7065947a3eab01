import { expect } from 'chai';
import fc from 'fast-check';
import { createUpstreamEntry } from './support/core.js';
import {
  createListDomain,
  DRAIN_MS,
  expectAllKnow,
  listAt,
  ROUND_MS,
  runRound,
  runRounds,
} from './support/listDomain.js';

const drainingEntry = (id: string) => createUpstreamEntry(id, { phase: 'draining', beat: 2 });

describe('upstream list within a failure domain', () => {
  it('is read by one instance for all, however many there are', () => {
    const readsFor = (count: number) => {
      const domain = createListDomain(count);
      runRounds(domain, 10);
      const before = domain.reads();
      runRounds(domain, 50);
      return domain.reads() - before;
    };
    const perInterval = (50 * ROUND_MS) / (DRAIN_MS / 4);
    [3, 10, 32].forEach((count) =>
      expect(readsFor(count), `${count}`).to.be.at.most(perInterval + 1),
    );
  });

  it('brings a change to all instances well within the time to drain', () => {
    const domain = createListDomain(32);
    runRounds(domain, 10);
    domain.append({ kind: 'listed', upstream: drainingEntry('e1') });
    domain.append({ kind: 'listed', upstream: createUpstreamEntry('e3') });
    domain.append({ kind: 'removed', id: 'e2' });
    runRounds(domain, Math.floor((DRAIN_MS * 0.6) / ROUND_MS));
    expectAllKnow(domain);
  });

  ['cut from the platform', 'suspended'].forEach((trouble) => {
    it(`reaches all in the time to drain while its reader is ${trouble}`, () => {
      const domain = createListDomain(8);
      runRounds(domain, 10);
      if (trouble === 'suspended') domain.suspend('i00');
      else domain.setCut('i00', true);
      runRounds(domain, 2);
      domain.append({ kind: 'listed', upstream: drainingEntry('e1') });
      runRounds(domain, DRAIN_MS / ROUND_MS);
      domain.ids.slice(1).forEach((id) => {
        expect(domain.listOf(id).byId.get('e1')?.listed.phase, id).to.equal('draining');
      });
    });
  });

  it('reaches its reader in the time to drain while its reads are not answered', () => {
    const domain = createListDomain(3);
    runRounds(domain, 10);
    domain.append({ kind: 'listed', upstream: drainingEntry('e1') });
    for (let passed = 0; passed < DRAIN_MS; passed += ROUND_MS) {
      domain.advance(ROUND_MS);
      domain.deliverAll();
      domain.runTimers();
      domain.ids.slice(1).forEach(domain.answer);
    }
    expectAllKnow(domain);
  });

  it('is read at once by a reader that wakes with an old one', () => {
    const domain = createListDomain(3);
    runRounds(domain, 10);
    domain.suspend('i00');
    domain.append({ kind: 'removed', id: 'e1' });
    runRounds(domain, 30);
    domain.wake('i00');
    runRounds(domain, 4);
    expectAllKnow(domain);
  });

  it('drops what leaves the list at once where only the reader had lost the platform', () => {
    const domain = createListDomain(3);
    runRounds(domain, 10);
    domain.setCut('i00', true);
    while (domain.listOf('i00').failures === 0) runRound(domain);
    domain.setCut('i00', false);
    domain.append({ kind: 'removed', id: 'e1' });
    const end = domain.log.length;
    while (domain.ids.some((id) => domain.listOf(id).cursor !== end)) runRound(domain);
    const knowing = domain.ids.filter((id) => domain.listOf(id).byId.has('e1'));
    expect(knowing).to.deep.equal(['i00']);
    runRounds(domain, 12);
    expect(domain.listOf('i00').byId.has('e1')).to.equal(false);
  });

  it('does not return to an older one by an answer that was under way', () => {
    const domain = createListDomain(3);
    runRounds(domain, 10);
    domain.setCut('i00', true);
    runRounds(domain, 8);
    domain.setCut('i00', false);
    domain.append({ kind: 'removed', id: 'e1' });
    domain.append({ kind: 'listed', upstream: createUpstreamEntry('e1', { startedAt: 2 }) });
    for (let i = 0; i < 20; i += 1) {
      runRound(domain);
      domain.ids.forEach((id) => expect(domain.isOfItsPosition(id), id).to.equal(true));
    }
    expectAllKnow(domain);
  });

  it('is always one that the platform had, and never believed to be newer than it is', () => {
    const upstream = fc.constantFrom('e1', 'e2', 'e3', 'e4');
    const instance = fc.constantFrom('i00', 'i01', 'i02');
    const step = fc.oneof(
      { weight: 8, arbitrary: fc.constant({ kind: 'round' } as const) },
      { weight: 3, arbitrary: fc.record({ kind: fc.constant('list' as const), id: upstream }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('drain' as const), id: upstream }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('remove' as const), id: upstream }) },
      { weight: 4, arbitrary: fc.record({ kind: fc.constant('deliver' as const), at: fc.nat() }) },
      { weight: 4, arbitrary: fc.record({ kind: fc.constant('drop' as const), at: fc.nat() }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('answer' as const), id: instance }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('timers' as const) }) },
      { weight: 1, arbitrary: fc.record({ kind: fc.constant('suspend' as const), id: instance }) },
      { weight: 1, arbitrary: fc.record({ kind: fc.constant('wake' as const), id: instance }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.nat(900) }) },
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const domain = createListDomain(3);
        let started = 1;
        const latest = (id: string) => listAt(domain.log, domain.log.length).get(id);
        const apply = (one: (typeof steps)[number]): void => {
          switch (one.kind) {
            case 'list':
              started += 1;
              domain.append({
                kind: 'listed',
                upstream: createUpstreamEntry(one.id, { startedAt: started }),
              });
              return;
            case 'drain': {
              const known = latest(one.id);
              if (known === undefined) return;
              const drained = { ...known, phase: 'draining', beat: known.beat + 1 } as const;
              domain.append({ kind: 'listed', upstream: drained });
              return;
            }
            case 'remove':
              if (latest(one.id) === undefined) return;
              domain.append({ kind: 'removed', id: one.id });
              return;
            case 'deliver':
              domain.deliver(one.at);
              return;
            case 'drop':
              domain.drop(one.at);
              return;
            case 'answer':
              domain.answer(one.id);
              return;
            case 'timers':
              domain.runTimers();
              return;
            case 'suspend':
              domain.suspend(one.id);
              return;
            case 'wake':
              domain.wake(one.id);
              return;
            case 'wait':
              domain.advance(one.ms);
              return;
            default:
              runRound(domain);
          }
        };
        steps.forEach((one) => {
          apply(one);
          domain.ids.forEach((id) => {
            expect(domain.isOfItsPosition(id), `list of ${id}`).to.equal(true);
            expect(domain.isConfirmationCorrect(id), `confirmation of ${id}`).to.equal(true);
          });
        });
        domain.ids.forEach((id) => domain.wake(id));
        runRounds(domain, 30);
        expectAllKnow(domain);
      }),
      { numRuns: 300, seed: 28 },
    );
  });
});
